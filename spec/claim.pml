/*
 * The claim protocol of hemlockclaim, for requests that must run at most once. The model has one idempotency key, the
 * row of that key in the platform's table, CALLERS callers that make up to TRIES attempts, and one process for each
 * attempt. Odd and even attempts stand for two nodes, which share nothing but the row. With faults, all attempts can
 * start at any time.
 *
 * Faults: a write is not sent, takes effect but its reply is lost, or takes effect later (or never) and its reply is
 * lost; a read fails; an attempt crashes before or after it ran the request; an attempt is paused at any step for any
 * time, or for ever, because the scheduler is free; a caller gives up and retries while its earlier attempt continues;
 * the key expires and its row is swept.
 *
 * Steps of the model, and the code of hemlockclaim that they stand for:
 *   claim, and claim with the version of a tombstone   Claimer.Claim
 *   read_back, tombstone                               Claimer.readBack
 *   recheck                                            Claimer.confirm, called by Claimer.Claim and Claimer.readBack
 *   settle of release and finish                       Claimer.settle, called by Claimer.Release and Claimer.Finish
 *   write                                              Store.Write, through Forwarder, Batcher and TransactionWriter
 *   Platform                                           a write that takes effect after its reply was lost
 *   Clock                                              the age of the key; Sweep
 *
 * Properties:
 *   the request runs at most once                                      assert(runs <= 1)
 *   an attempt that was refused before execution never runs            assert(!refused[n]), assert(!ran[n])
 *   after a tombstone was written, the late claim of its attempt has   assert(... !voided[n])
 *     no effect until the row is swept, when the key is refused anyway
 *   without faults, at least one caller gets the response, and all end ltl ends, with -DNO_FAULTS
 *
 * check.sh reads the lines below: builds that must pass (check) or find an error (fails), as DEFINES ; OPTIONS.
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
/* The maximum number of lost, late and unsent writes and failed reads in one run. */
#ifndef FAULTS
#define FAULTS  3
#endif

/* States of the row. */
#define ABSENT   0
#define RUNNING  1
#define FINISHED 2
#define RELEASED 3

/* Results of a write. LOST means that the reply was lost, UNSENT that the write was not sent. */
#define APPLIED 1
#define FAILED  2
#define LOST    3
#define UNSENT  4

/* Outcomes of an attempt. */
#define PENDING  0
#define ANSWERED 1
#define NOT_RUN  2
#define UNKNOWN  3

/* The row: its state, the attempt that wrote it, and its version, which is 0 when the row is absent. */
byte state; byte owner; byte version;
/* The highest version of the row so far. It never decreases, not even when the row is deleted. */
byte last_version;

/* Writes whose reply was lost and that have not taken effect yet, with the version and state that they expect. */
typedef pending_write { byte state; byte owner; byte expected_version; byte expected_state };
pending_write late[LATE];

byte faults;
byte runs;
/* By attempt: it ran the request; it was refused before execution; its tombstone was written. */
bool ran[ATTEMPTS]; bool refused[ATTEMPTS]; bool voided[ATTEMPTS];
bool expired; bool sweepable;

#ifdef NO_FAULTS
byte ended_callers; byte answered_callers;
byte outcome[ATTEMPTS];
#define set_outcome(result) outcome[n] = result
#else
#define set_outcome(result) skip
#endif

/* WITHOUT_VERSION compares only the state of the row, as if a version could be used twice. */
#ifdef WITHOUT_VERSION
#define holds(expected_state, expected_version) (state == expected_state)
#else
#define holds(expected_state, expected_version) (version == expected_version)
#endif

inline apply(new_state, new_owner, if_version, if_state, done) {
	if
#ifdef WITHOUT_CONDITION
	:: new_state == RUNNING || holds(if_state, if_version) ->
#else
	:: holds(if_state, if_version) ->
#endif
		assert(sweepable || !(new_state == RUNNING && voided[new_owner]));
		last_version++; state = new_state; owner = new_owner; version = last_version; done = APPLIED
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
			late[0].expected_version = if_version; late[0].expected_state = if_state; reply = LOST
		:: faults < FAULTS && late[0].state != ABSENT && late[1].state == ABSENT ->
			faults++;
			late[1].state = new_state; late[1].owner = new_owner;
			late[1].expected_version = if_version; late[1].expected_state = if_state; reply = LOST
#endif
		fi
	}
}

/* A later write is conditional on seen_version. */
inline read() {
	atomic {
		if
		:: read_succeeded = true; seen_state = state; seen_owner = owner; seen_version = version
#ifndef NO_FAULTS
		:: faults < FAULTS -> faults++; read_succeeded = false
#endif
		fi
	}
}

/* settle of release and finish: reads the row and writes it with the version read, again after a lost reply. */
inline settle(last_state, rounds) {
	round = 0;
	do
	:: round < rounds ->
		atomic {
			round++;
			read();
			if
			:: read_succeeded && seen_state == RUNNING && seen_owner == n -> skip
			:: read_succeeded && !(seen_state == RUNNING && seen_owner == n) -> break
			:: !read_succeeded -> seen_state = ABSENT
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
	bool read_succeeded;
	byte expected_version = 0;
	byte expected_state = ABSENT;

	if
	:: expired -> goto unknown
	:: else -> skip
	fi;

	/* claim */
	atomic {
		write(RUNNING, n, expected_version, expected_state);
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
		:: read_succeeded && seen_state == RELEASED -> expected_version = seen_version; expected_state = RELEASED
		:: read_succeeded && seen_state == FINISHED -> goto stored
		:: else -> goto unknown
		fi
	};
	atomic {
		write(RUNNING, n, expected_version, expected_state);
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
		:: !read_succeeded -> goto refuse
#ifdef WITHOUT_NONCE
		:: read_succeeded && seen_state == RUNNING -> goto claimed
#else
		:: read_succeeded && seen_state == RUNNING && seen_owner == n -> goto claimed
#endif
		:: else ->
			if
			:: seen_version == expected_version -> skip
			:: seen_version != expected_version && seen_state == FINISHED -> goto stored
			:: seen_version != expected_version && seen_state == RUNNING -> goto unknown
			:: seen_version != expected_version && (seen_state == RELEASED || seen_state == ABSENT) -> goto refuse
			fi
		fi
	};

	/* tombstone */
	atomic {
#ifdef WITHOUT_TOMBSTONE
		voided[n] = true;
#else
		write(RELEASED, n, expected_version, expected_state);
		if
		:: reply == APPLIED -> voided[n] = true
		:: else -> skip
		fi;
#endif
		goto refuse
	};

claimed:
	/* recheck of the age of the key; the run may come much later */
#ifndef WITHOUT_RECHECK
	if
	:: expired -> goto unknown
	:: else -> skip
	fi;
#endif
#ifndef NO_FAULTS
	if
	/* The target shed the request, or the connection to it failed before a byte was sent. */
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
	set_outcome(ANSWERED);
	goto reset;
unknown:
	set_outcome(UNKNOWN);
	goto reset;
refuse:
	atomic {
		assert(!ran[n]);
		refused[n] = true;
		set_outcome(NOT_RUN)
	};
	goto reset;
crashed:
	skip;
reset:
	skip; /* Resets the locals, so that states that differ only in them are equal. */
	d_step {
		reply = 0; seen_state = 0; seen_owner = 0; seen_version = 0; round = 0; read_succeeded = 0;
		expected_version = 0; expected_state = 0
	}
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
		:: outcome[n] == ANSWERED -> answered_callers++; break
		:: else -> skip
		fi
	:: else -> break
	od;
	ended_callers++
}
#endif

#ifndef NO_FAULTS
active proctype Platform() {
	byte unused_result;
end:
	do
	:: atomic { late[0].state != ABSENT ->
		apply(late[0].state, late[0].owner, late[0].expected_version, late[0].expected_state, unused_result);
		late[0].state = ABSENT; late[0].owner = 0;
		late[0].expected_version = 0; late[0].expected_state = 0; unused_result = 0 }
	:: atomic { late[1].state != ABSENT ->
		apply(late[1].state, late[1].owner, late[1].expected_version, late[1].expected_state, unused_result);
		late[1].state = ABSENT; late[1].owner = 0;
		late[1].expected_version = 0; late[1].expected_state = 0; unused_result = 0 }
	od
}

#endif

#ifdef SWEEP
/* The key expires after the retention, and its row is swept after twice the retention. */
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
	/* With faults, a caller may give up and retry while its earlier attempt continues: attempts start at any time. */
	atomic { run Attempt(0); run Attempt(1); run Attempt(2) }
#endif
}

#ifdef NO_FAULTS
ltl ends { <> (ended_callers == CALLERS && runs == 1 && answered_callers > 0) }
#endif
