/* The lease on orders to engines.
 *
 * Holders acquire through the log; the number of a lease is the offset of its
 * record. A holder may be paused between its check and its order. Time is a
 * counter; a lease lapses some ticks after the log took its record, and the
 * holder stops after fewer ticks, counted from before it sent the record.
 * Checked: an engine that checks numbers accepts no order from an old holder
 * once it has one from a newer, and two nodes never believe at the same time
 * that they hold the lease.
 *
 * Switches that break the protocol, each of which must make a check fail:
 *   NO_CHECK     the engine does not check numbers
 *   COUNT_LATE   a holder counts from when it read its record
 *   TAKE_EARLY   an acquisition is granted before the lease has lapsed
 */

#define NODES 2
#define LENGTH 3
#define MARGIN 1
#define END 7
#define MAXLOG 5
#define NONE 255

byte now = 0;
byte owner[MAXLOG];
byte taken[MAXLOG]; /* time at which the log took each record */
byte length = 0;
byte until[NODES];  /* time until which each node may act */
byte number[NODES];
byte newest = 0;    /* newest number that the engine accepted, plus one */
bool old = false;   /* an order of an old holder was accepted */

/* current finds the lease that was granted last. */
inline current(g, i) {
	g = NONE;
	i = 0;
	do
	:: i < length ->
		if
#ifdef TAKE_EARLY
		:: true -> g = i
#else
		:: g == NONE || taken[i] >= taken[g] + LENGTH -> g = i
		:: else
#endif
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

active proctype clock() {
	do
	:: now < END -> now++
	:: else -> break
	od
}

proctype node(byte me) {
	byte sent;
	byte at;
	byte g;
	byte i;
	do
	:: now >= END || length >= MAXLOG -> break
	:: else ->
		atomic {
			current(g, i);
			if
			:: g == NONE || now >= taken[g] + LENGTH -> sent = now
			:: else -> goto wait
			fi
		};
		/* The record may be taken any time later. */
		atomic {
			if
			:: length < MAXLOG ->
				owner[length] = me;
				taken[length] = now;
				at = length;
				length++
			:: else -> break
			fi
		};
		/* The holder may be paused before it reads its record. */
		atomic {
			current(g, i);
			if
			:: g == at ->
				number[me] = at;
#ifdef COUNT_LATE
				until[me] = now + LENGTH - MARGIN
#else
				until[me] = sent + LENGTH - MARGIN
#endif
			:: else -> goto wait
			fi;
			assert(!(until[0] > now && until[1] > now))
		};
		if
		:: atomic { until[me] > now -> skip };
			/* Paused between the check and the order. */
			atomic {
				if
#ifndef NO_CHECK
				:: number[me] + 1 < newest -> skip /* refused */
#endif
				:: else ->
					old = number[me] + 1 < newest;
					assert(!old);
					newest = number[me] + 1
				fi
			}
		:: skip
		fi;
wait:
		skip
	od
}

init {
	atomic {
		run node(0);
		run node(1)
	}
}
