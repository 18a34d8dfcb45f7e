/* Claims of one idempotency key through the log.
 *
 * Each node carries one request with the same key. The log may fail an append,
 * or take it and lose the answer; a node may die at each step. Checked: the
 * request runs at most once, and "not run" is told only for a request that
 * did not run.
 *
 * Switches that break the protocol, each of which must make a check fail:
 *   NO_READBACK     a node sends as soon as its append was answered
 *   RELEASE_ON_LOST a node releases the key when the answer is lost
 *   NOT_RUN_ON_LOST a node tells "not run" when the answer is lost
 *   RUN_ABANDONED   a node that gave up waiting still sends when it wins
 */

#define NODES 2
#define ATTEMPTS 2
#define MAXLOG 8

mtype = { Claim, Done, Lost, Release }
mtype = { Nobody, Held, Finished, Uncertain, Free }
mtype = { Untold, Answered, NotRun, Unknown }

typedef Record {
	mtype op;
	byte attempt
}

Record log[MAXLOG];
byte length = 0;
byte runs = 0;
bool ran[NODES];
mtype told[NODES];
bool dead[NODES];

inline append(o, a, answered) {
	if
	:: length < MAXLOG ->
		log[length].op = o;
		log[length].attempt = a;
		length++;
		if
		:: answered = true
		:: answered = false /* the answer is lost */
		fi
	:: answered = false /* the append is lost */
	fi
}

/* fold computes the state of the key after all records. */
inline fold(st, holder, i) {
	st = Nobody;
	holder = 255;
	i = 0;
	do
	:: i < length ->
		if
		:: log[i].op == Claim && (st == Nobody || st == Free) ->
			st = Held;
			holder = log[i].attempt
		:: log[i].op != Claim && st == Held && log[i].attempt == holder ->
			if
			:: log[i].op == Done -> st = Finished
			:: log[i].op == Lost -> st = Uncertain
			:: log[i].op == Release -> st = Free
			fi
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline seen(a, yes, i) {
	yes = false;
	i = 0;
	do
	:: i < length ->
		if
		:: log[i].op == Claim && log[i].attempt == a -> yes = true
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline mayDie() {
	if
	:: skip
	:: dead[me] = true; goto gone
	fi
}

/* settle appends the end of an attempt, repeating until it is in the log or
 * the node dies. */
inline settle(o) {
	do
	:: atomic { append(o, attempt, answered) };
		if
		:: answered -> break
		:: length >= MAXLOG -> break
		:: else -> mayDie()
		fi
	od
}

proctype node(byte me) {
	byte try = 0;
	byte attempt;
	byte holder;
	byte i;
	mtype st;
	bool answered;
	bool yes;
	bool abandoned = false;

again:
	attempt = me * ATTEMPTS + try;
	mayDie();
	atomic { append(Claim, attempt, answered) };
	mayDie();
#ifdef NO_READBACK
	if
	:: answered -> goto send
	:: else
	fi;
#endif
	/* Wait for the own claim to appear, or give up at some time. */
	atomic { seen(attempt, yes, i) };
	if
	:: yes
	:: told[me] = NotRun; abandoned = true
	fi;
	if
	:: abandoned ->
		/* A claim that appears later is released if it wins. */
		atomic { fold(st, holder, i) };
		if
		:: st == Held && holder == attempt ->
#ifdef RUN_ABANDONED
			goto send;
#endif
			settle(Release)
		:: else
		fi;
		goto gone
	:: else
	fi;
	atomic { fold(st, holder, i) };
	if
	:: st == Held && holder == attempt -> goto send
	:: st == Finished -> told[me] = Answered
	:: st == Uncertain -> told[me] = Unknown
	:: st == Held && holder != attempt -> told[me] = Unknown
	:: st == Free && try + 1 < ATTEMPTS -> try++; goto again
	:: st == Free && try + 1 >= ATTEMPTS -> told[me] = NotRun
	fi;
	goto gone;

send:
	mayDie();
	if
	:: /* no byte was sent */
		told[me] = NotRun;
		settle(Release)
	:: /* the request arrives and runs */
		atomic {
			runs++;
			ran[me] = true;
			assert(runs <= 1);
			assert(told[me] != NotRun)
		};
		mayDie();
		if
		:: told[me] = Answered;
			settle(Done)
		:: /* the answer is lost */
#ifdef NOT_RUN_ON_LOST
			told[me] = NotRun;
#else
			told[me] = Unknown;
#endif
			assert(!(told[me] == NotRun && ran[me]));
#ifdef RELEASE_ON_LOST
			settle(Release)
#else
			settle(Lost)
#endif
		fi
	fi;

gone:
	assert(!(told[me] == NotRun && ran[me]))
}

init {
	byte n = 0;
	atomic {
		do
		:: n < NODES -> told[n] = Untold; run node(n); n++
		:: else -> break
		od
	}
}
