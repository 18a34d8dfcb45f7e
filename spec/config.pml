/* Configuration versions folded from the log.
 *
 * Operators append patches against versions that some reader had in force, new
 * or old. Readers fold the records, may be paused between any two steps, may
 * start afresh, and write snapshots. The log drops old records. Checked: all readers compute the
 * same version after the same record, a version in force never decreases, and
 * at most one patch is accepted on each base.
 *
 * Switches that break the protocol, each of which must make a check fail:
 *   NO_BASE         the fold ignores the base of a patch
 *   FROM_POSITION   a reader continues from a snapshot's own position
 *   ANY_SNAPSHOT    a reader that is based takes every snapshot that it reads
 */

#define READERS 2
#define MAXLOG 5
#define SNAPSHOTS 2
#define NONE 255

mtype = { Patch, Snapshot }

typedef Record {
	mtype kind;
	byte base;    /* of a patch */
	byte version; /* of a snapshot */
	byte next     /* first offset not covered by a snapshot */
}

Record log[MAXLOG];
byte length = 0;
byte oldest = 0;
byte after[MAXLOG];    /* version after each record, NONE if not yet folded */
byte winner[MAXLOG];   /* offset of the patch accepted on each base */
byte inForce[READERS];
byte restarts = 0;
byte snapshots = 0;

/* judge folds the patch at offset o into version. */
inline judge(o) {
#ifdef NO_BASE
	if
	:: true ->
#else
	if
	:: log[o].base == version ->
#endif
		assert(winner[log[o].base] == NONE || winner[log[o].base] == o);
		winner[log[o].base] = o;
		version++
	:: else
	fi;
	assert(after[o] == NONE || after[o] == version);
	after[o] = version
}

inline putInForce() {
	assert(version >= inForce[me]);
	inForce[me] = version
}

proctype operators() {
	do
	:: atomic { length < MAXLOG ->
			log[length].kind = Patch;
			if
			:: log[length].base = inForce[0]
			:: log[length].base = inForce[1]
			:: log[length].base = 0
			fi;
			length++
		}
	:: break
	od
}

proctype reader(byte me) {
	byte version = 0;
	byte next = 0;
	byte start = 0;
	byte i;
	bool based = true;
	do
	:: atomic { next < oldest ->
			/* Records were lost: wait for a snapshot. */
			next = oldest;
			start = oldest;
			based = false
		}
	:: atomic { next >= oldest && next < length && based ->
			if
			:: log[next].kind == Patch -> judge(next)
#ifdef ANY_SNAPSHOT
			:: log[next].kind == Snapshot -> version = log[next].version
#else
			:: log[next].kind == Snapshot
#endif
			fi;
			next++;
			putInForce()
		}
	:: atomic { next >= oldest && next < length && !based ->
			if
			:: log[next].kind == Snapshot && log[next].next >= start && log[next].version >= version ->
				version = log[next].version;
#ifdef FROM_POSITION
				i = next;
#else
				i = log[next].next;
#endif
				do
				:: i < next ->
					if
					:: log[i].kind == Patch -> judge(i)
					:: else
					fi;
					i++
				:: else -> break
				od;
				i = 0;
				based = true;
				putInForce()
			:: else
			fi;
			next++
		}
	:: atomic { based && version > 0 && length < MAXLOG && snapshots < SNAPSHOTS ->
			/* A reader that was paused writes an old snapshot. */
			log[length].kind = Snapshot;
			log[length].version = version;
			log[length].next = next;
			length++;
			snapshots++
		}
	:: atomic { restarts < 1 ->
			/* A new run of the node, during an outage: it takes what its
			 * peer has, or nothing. */
			restarts++;
			version = 0;
			next = 0;
			start = 0;
			based = true;
			inForce[me] = 0
		}
	:: next >= length -> break
	od
}

/* retention drops old records, once a snapshot covers them. */
proctype retention() {
	byte i = 0;
	do
	:: atomic { i < length ->
			if
			:: log[i].kind == Snapshot && log[i].next > oldest -> oldest = log[i].next
			:: skip
			fi;
			i++
		}
	:: break
	od
}

init {
	byte n = 0;
	atomic {
		do
		:: n < MAXLOG -> after[n] = NONE; winner[n] = NONE; n++
		:: else -> break
		od;
		run operators();
		run reader(0);
		run reader(1);
		run retention()
	}
}
