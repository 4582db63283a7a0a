/*
 * The claim protocol for requests that must run at most once. The model has one key, the row of that key in the
 * platform's table, CALLERS callers that send TRIES attempts, and one process for each attempt. Odd and even
 * attempts stand for two nodes, which share nothing but the row. With faults, all attempts start at any time.
 *
 * Faults: a write is not sent, takes effect with its reply lost, or takes effect later (or never) with its reply lost;
 * a read fails; an attempt crashes before or after it ran the request; an attempt is paused at any step for any time, or for
 * ever, which is the freedom of the scheduler; a caller gives up waiting and repeats while the attempt goes on; the key expires and its row is swept.
 *
 * Steps and the functions of hemlockclaim that they stand for:
 *   claim, claim with a tombstone's version    Claimer.Claim
 *   read_back, tombstone                       Claimer.readBack
 *   recheck                                    Claimer.Claim, Claimer.readBack: confirm
 *   release, finish                            Claimer.Release, Claimer.Finish: settle
 *   write                                      Store.Write over Batcher, Collector and TransactionWriter
 *   Platform                                   a write that takes effect after its reply was lost
 *   Clock                                      the age of the key; Sweep
 *
 * Properties:
 *   the key runs at most once                                      assert(runs <= 1)
 *   an attempt that was refused as not run did not and will not    assert(!refused[n]), assert(!ran[n])
 *   after a tombstone succeeded, the late claim has no effect      assert(... !voided[n])
     until the row is swept, when the key is refused anyway
 *   without faults, one caller gets the answer and all end         ltl ends, with -DNO_FAULTS
 *
 * The lines below are read by check.sh: a build that must pass with the options of its run, or one that must fail.
 * check: ; -m200000
 * check: -DSWEEP -DFAULTS=2 ; -m200000
 * check: -DNO_FAULTS ; -m200000 -a -f
 * fails: -DWITHOUT_CONDITION ; -m200000
 * fails: -DWITHOUT_NONCE ; -m200000
 * fails: -DWITHOUT_VERSION ; -m200000
 * fails: -DWITHOUT_TOMBSTONE ; -m200000
 * fails: -DSWEEP -DWITHOUT_RECHECK ; -m200000
 * fails: -DRELEASE_AFTER_SEND ; -m200000
 * fails: -DNO_FAULTS -DWITHOUT_FINISH ; -m200000 -a -f
 */

#define CALLERS 2
#define TRIES(id) (id == 0 -> 2 : 1)
#define ATTEMPTS 3
#define LATE    2
/* Lost and late writes, unsent writes and failed reads in one run. */
#ifndef FAULTS
#define FAULTS  3
#endif

/* States of the row. */
#define ABSENT   0
#define RUNNING  1
#define FINISHED 2
#define RELEASED 3

/* Results of a write. */
#define APPLIED 1
#define FAILED  2
#define LOST    3
#define UNSENT  4

/* Outcomes of an attempt. */
#define PENDING  0
#define ANSWERED 1
#define NOT_RUN  2
#define UNKNOWN  3

/* The row; its version is 0 when it is absent. */
byte state; byte owner; byte version;
/* The highest version given out; it never falls, also when the row is deleted. */
byte last;

/* Writes whose reply was lost and that have not taken effect. */
typedef late_write { byte state; byte owner; byte condition; byte required };
late_write late[LATE];

byte faults;
byte runs;
bool ran[ATTEMPTS]; bool refused[ATTEMPTS]; bool voided[ATTEMPTS];
bool expired; bool sweepable;

#ifdef NO_FAULTS
byte ended; byte answered;
byte outcome[ATTEMPTS];
#define end_with(result) outcome[n] = result
#else
#define end_with(result) skip
#endif

/* WITHOUT_VERSION compares the state of the row only, as if versions were used twice. */
#ifdef WITHOUT_VERSION
#define holds(required, condition) (state == required)
#else
#define holds(required, condition) (version == condition)
#endif

inline apply(new_state, new_owner, if_version, if_state, done) {
	if
#ifdef WITHOUT_CONDITION
	:: new_state == RUNNING || holds(if_state, if_version) ->
#else
	:: holds(if_state, if_version) ->
#endif
		assert(sweepable || !(new_state == RUNNING && voided[new_owner]));
		last++; state = new_state; owner = new_owner; version = last; done = APPLIED
	:: else -> done = FAILED
	fi
}

inline write(new_state, new_owner, if_version, if_state) {
	atomic {
		if
		:: true -> apply(new_state, new_owner, if_version, if_state, reply)
#ifndef NO_FAULTS
		:: faults < FAULTS -> faults++; reply = UNSENT
		:: faults < FAULTS -> faults++; apply(new_state, new_owner, if_version, if_state, reply); reply = LOST
		:: faults < FAULTS && late[0].state == ABSENT ->
			faults++;
			late[0].state = new_state; late[0].owner = new_owner;
			late[0].condition = if_version; late[0].required = if_state; reply = LOST
		:: faults < FAULTS && late[0].state != ABSENT && late[1].state == ABSENT ->
			faults++;
			late[1].state = new_state; late[1].owner = new_owner;
			late[1].condition = if_version; late[1].required = if_state; reply = LOST
#endif
		fi
	}
}

/* seen_version is what a later write is conditional on. */
inline read() {
	atomic {
		if
		:: readable = true; seen_state = state; seen_owner = owner; seen_version = version
#ifndef NO_FAULTS
		:: faults < FAULTS -> faults++; readable = false
#endif
		fi
	}
}

/* settle of release and finish: read, then write with the version read; a lost reply is followed by another round. */
inline settle(last_state, rounds) {
	round = 0;
	do
	:: round < rounds ->
		atomic {
			round++;
			read();
			if
			:: readable && seen_state == RUNNING && seen_owner == n -> skip
			:: readable && !(seen_state == RUNNING && seen_owner == n) -> break
			:: !readable -> seen_state = ABSENT
			fi
		};
		if
		:: seen_state == RUNNING ->
			atomic {
				write(last_state, n, seen_version, RUNNING);
				if
				:: reply == APPLIED -> break
				:: else -> skip
				fi
			}
		:: else -> skip
		fi
	:: else -> break
	od
}

proctype Attempt(byte n) {
	byte reply, seen_state, seen_owner, seen_version, round;
	bool readable;
	byte condition = 0;
	byte required = ABSENT;

	if
	:: expired -> goto unknown
	:: else -> skip
	fi;

	/* claim */
	atomic {
		write(RUNNING, n, condition, required);
		if
		:: reply == APPLIED -> goto claimed
		:: reply == UNSENT -> goto refuse
		:: reply == LOST -> goto read_back
		:: reply == FAILED -> skip
		fi
	};
	atomic {
		read();
		if
		:: readable && seen_state == RELEASED -> condition = seen_version; required = RELEASED
		:: readable && seen_state == FINISHED -> goto stored
		:: else -> goto unknown
		fi
	};
	atomic {
		write(RUNNING, n, condition, required);
		if
		:: reply == APPLIED -> goto claimed
		:: reply == UNSENT -> goto refuse
		:: reply == LOST -> goto read_back
		:: reply == FAILED -> goto unknown
		fi
	};

read_back:
	atomic {
		read();
		if
		:: !readable -> goto refuse
#ifdef WITHOUT_NONCE
		:: readable && seen_state == RUNNING -> goto claimed
#else
		:: readable && seen_state == RUNNING && seen_owner == n -> goto claimed
#endif
		:: else ->
			if
			:: seen_version == condition -> skip
			:: seen_version != condition && seen_state == FINISHED -> goto stored
			:: seen_version != condition && seen_state == RUNNING -> goto unknown
			:: seen_version != condition && (seen_state == RELEASED || seen_state == ABSENT) -> goto refuse
			fi
		fi
	};

	/* tombstone */
	atomic {
#ifdef WITHOUT_TOMBSTONE
		voided[n] = true;
#else
		write(RELEASED, n, condition, required);
		if
		:: reply == APPLIED -> voided[n] = true
		:: else -> skip
		fi;
#endif
		goto refuse
	};

claimed:
	/* recheck; the run may come much later */
#ifndef WITHOUT_RECHECK
	if
	:: expired -> goto unknown
	:: else -> skip
	fi;
#endif
#ifndef NO_FAULTS
	if
	/* Shed, or the connection to the target failed before a byte was sent. */
	:: settle(RELEASED, 2); goto refuse
	:: goto crashed
	:: skip
	fi;
#endif
	atomic {
		assert(!refused[n]);
		runs++; ran[n] = true;
		assert(runs <= 1)
#ifndef NO_FAULTS
		;
		if
		:: goto crashed
		:: skip
		fi
#endif
	};
#ifdef RELEASE_AFTER_SEND
	if
	:: settle(RELEASED, 2); goto unknown
	:: skip
	fi;
#endif
#ifdef WITHOUT_FINISH
	goto unknown;
#else
	settle(FINISHED, 1);
#endif
stored:
	end_with(ANSWERED);
	goto over;
unknown:
	end_with(UNKNOWN);
	goto over;
refuse:
	atomic {
		assert(!ran[n]);
		refused[n] = true;
		end_with(NOT_RUN)
	};
	goto over;
crashed:
	skip;
over:
	skip; /* Equal locals make states equal. */
	d_step { reply = 0; seen_state = 0; seen_owner = 0; seen_version = 0; round = 0; readable = 0; condition = 0; required = 0 }
}

#ifdef NO_FAULTS
proctype Caller(byte id) {
	byte try = 0;
	byte n;
	do
	:: try < TRIES(id) ->
		n = id + CALLERS * try;
		try++;
		run Attempt(n);
		outcome[n] != PENDING;
		if
		:: outcome[n] == ANSWERED -> answered++; break
		:: else -> skip
		fi
	:: else -> break
	od;
	ended++
}
#endif

#ifndef NO_FAULTS
active proctype Platform() {
	byte ignored;
end:
	do
	:: atomic { late[0].state != ABSENT ->
		apply(late[0].state, late[0].owner, late[0].condition, late[0].required, ignored);
		late[0].state = ABSENT; late[0].owner = 0; late[0].condition = 0; late[0].required = 0; ignored = 0 }
	:: atomic { late[1].state != ABSENT ->
		apply(late[1].state, late[1].owner, late[1].condition, late[1].required, ignored);
		late[1].state = ABSENT; late[1].owner = 0; late[1].condition = 0; late[1].required = 0; ignored = 0 }
	od
}

#endif

#ifdef SWEEP
/* The key expires after the retention; its row is swept after twice the retention. */
active proctype Clock() {
	expired = true;
	sweepable = true;
end:
	atomic { state != ABSENT -> state = ABSENT; owner = 0; version = 0 }
}
#endif

init {
#ifdef NO_FAULTS
	atomic { run Caller(0); run Caller(1) }
#else
	/* With faults, a caller may give up and repeat while its earlier attempt goes on: attempts start at any time. */
	atomic { run Attempt(0); run Attempt(1); run Attempt(2) }
#endif
}

#ifdef NO_FAULTS
ltl ends { <> (ended == CALLERS && runs == 1 && answered > 0) }
#endif
