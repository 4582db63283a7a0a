/*
 * The claim protocol of hemlockclaim on a table that returns from older copies: it loses rows, and assigns versions again.
 * One idempotency key, whose time is before each return; the row of that key; the record of the era; NODES nodes that keep
 * the last record they know; and ATTEMPTS attempts, each at any node, at any time. Nodes restart, which makes them forget.
 * claim.pml has the faults within one era.
 *
 * Steps of the model, and the code that they stand for:
 *   current       EraTracker.Current: the known record if the table last stated its era, else ReadEra and WriteEra
 *   claim         Claimer.claim: the conditional write, whose response states an era (ClaimStore.Transact)
 *   read_back     Claimer.readBack after a write in another era
 *   after_loss    Claimer.claimAfterLoss
 *   Table         a copy is taken; the table returns from it in a new era
 *
 * Property: the request runs at most once, assert(runs <= 1).
 *
 * check: ; -m200000
 * fails: -DWITHOUT_ERA_OF_WRITE ; -m200000
 * fails: -DWITHOUT_RECORD ; -m200000
 * fails: -DMISSING_RECORD_IS_NEW ; -m200000
 */

#define NODES 2
#define ATTEMPTS 3
#define RETURNS 2
#define NONE 9

/* The table: the era that it states, the owner of the row (NONE without one), and the record. */
byte era = 0;
byte owner = NONE;
bool record = true;    /* there is a record; publish wrote it before the first claim */
byte record_era = 0;
bool record_lost = false;

/* The copy. It may be older than the record. */
byte copy_owner = NONE;
bool copy_record = false;
byte copy_record_era = 0;
bool copy_record_lost = false;

/* What the nodes know: the era stated last, and the last record. */
byte stated[NODES];
bool known[NODES];
byte known_era[NODES];
bool known_lost[NODES];

byte runs = 0;

/* current sets may_be_lost and claim_era, or ends the attempt if the record could not be written. */
inline current() {
	if
	:: atomic { known[node] && known_era[node] == stated[node] -> claim_era = known_era[node]; may_be_lost = known_lost[node] }
	:: else ->
		atomic {
			stated[node] = era;
			read_record = record;
			read_era = record_era;
			claim_era = era;
			if
			:: record && record_era == era -> may_be_lost = record_lost
			:: else -> may_be_lost = true
			fi
#ifdef MISSING_RECORD_IS_NEW
			if
			:: !record && !known[node] -> may_be_lost = false
			:: else
			fi
#endif
#ifdef WITHOUT_RECORD
			may_be_lost = false
#endif
		}
		if
		:: read_record && read_era == claim_era
		:: else ->
			/* The write is conditional on the row that was read, and counts only in the era that was read. */
			if
			:: atomic { era == claim_era && record == read_record && record_era == read_era ->
				record = true; record_era = claim_era; record_lost = may_be_lost }
			:: atomic { !(era == claim_era && record == read_record && record_era == read_era) -> goto end }
			fi
		fi;
		atomic { known[node] = true; known_era[node] = claim_era; known_lost[node] = may_be_lost }
	fi
}

proctype Attempt(byte n; byte node) {
	byte claim_era, read_era, write_era;
	bool may_be_lost, read_record, written;

	current();
	if
	:: may_be_lost -> goto end    /* after_loss: without a row of this era the outcome is unknown, with one it is too */
	:: else
	fi;
	/* claim */
	atomic {
		written = (owner == NONE);
		if
		:: written -> owner = n
		:: else
		fi;
		write_era = era;
		stated[node] = era
	}
#ifndef WITHOUT_ERA_OF_WRITE
	if
	:: write_era != claim_era -> goto end    /* read_back: the row was read in another era than that of the claim */
	:: else
	fi;
#endif
	if
	:: written -> runs++; assert(runs <= 1)
	:: else
	fi;
end:
	skip
}

active proctype Table() {
	byte returns = 0;
	do
	:: atomic { copy_owner = owner; copy_record = record; copy_record_era = record_era; copy_record_lost = record_lost }
	:: atomic { returns < RETURNS ->
		returns++; era++;
		owner = copy_owner; record = copy_record; record_era = copy_record_era; record_lost = copy_record_lost }
	:: break
	od
}

active proctype Restarts() {
	byte restarts = 0;
	do
	:: atomic { restarts < NODES -> known[restarts] = false; stated[restarts] = NONE; restarts++ }
	:: break
	od
}

init {
	byte n = 0;
	byte node;
	atomic {
		known[0] = true;    /* knows the record of the first era */
		do
		:: n < ATTEMPTS ->
			if
			:: node = 0
			:: node = 1
			fi;
			run Attempt(n, node);
			n++
		:: else -> break
		od
	}
}
