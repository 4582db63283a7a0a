/*
 * The publishing protocol of hemlockconfiguration: two publishers, a head row with compare-and-set, which names the
 * current version of the configuration, lost calls, lost replies, writes that take effect late, and a node that reads.
 *
 * Steps of the model, and the code that they stand for:
 *   first step           publishRun.refresh (Store.ReadHead and Load) and publishRun.resolveBaseVersions
 *   conflict             publishRun.checkConflicts, with the base versions of publishRun.resolveBaseVersions
 *   swap                 Store.SwapHead as called by publishRun.commit; the call or its reply may be lost, the call late
 *   row changed          publishRun.rowChanged
 *   settle               publishRun.wroteVersion, which refreshes: the nonce of the version in the history decides
 *   network              a SwapHead whose reply was lost and that reaches the table later, or never
 *   node                 Holder.Update with the result of Load
 *
 * Objects are stored before the swap and never change, so a head stands for its configuration. The publishers change
 * one service each, the same or two different ones. The history of nonces in the model covers all versions of a run.
 * In the program, this holds unless 64 versions are written before a publisher reads again; the publisher then reports
 * an unknown outcome.
 *
 * -DWITHOUT_CAS removes the condition of the write; the properties that monitor checks must then fail.
 *
 * check: ; -m200000
 * fails: -DWITHOUT_CAS ; -m200000
 */

#define PUBLISHERS 2
#ifndef TRIES
#define TRIES 3        /* calls of one swap before the outcome is reported as unknown */
#endif
#ifndef ROUNDS
#define ROUNDS 2       /* writes of a publish; each but the first follows a write of the other publisher */
#endif
#define VERSIONS 4     /* two publishers write two versions at most */

#define NONE 9

mtype = { running, accepted, not_accepted, unknown };

/* The head row: the version of the row in the table and the version of the configuration in it. For each configuration
 * version, its writer and its content: for each service, the publish that last changed it, as publisher + 1, or 0. */
byte row_version = 0;
byte head = 0;
byte writer[VERSIONS];          /* the publisher that the nonce names, or NONE */
byte content0[VERSIONS];
byte content1[VERSIONS];

/* Late calls of SwapHead that have not reached the table yet: one for each publisher and round; two rounds at most. */
chan late[4] = [1] of { byte, byte, byte, byte };  /* row, version, content */

mtype outcome[PUBLISHERS];
byte applied[PUBLISHERS];       /* how often the publish took effect */
byte service[PUBLISHERS];       /* the service that the publisher changes */
byte base[PUBLISHERS];          /* the content of that service at the base version */
bool lost_update = false;       /* a write overwrote a publish that its publisher had not read */
bool reverted = false;          /* a write did not increase the version of the head by one */
byte node_version = 0;

/* The condition of a write: the row has not been written since it was read. */
#ifdef WITHOUT_CAS
#define UNCHANGED(r) (head + 1 < VERSIONS)
#else
#define UNCHANGED(r) ((r) == row_version)
#endif

/* Writes the head for publisher p. A publisher may replace only what it has read: the other service is the same as in
 * the head, and its own service in the head is the same as at the base version. */
inline write(p, v, c0, c1) {
	if
	:: v != head + 1 -> reverted = true
	:: else
	fi;
	if
	:: service[p] == 0 && (content0[head] != base[p] || content1[head] != c1) -> lost_update = true
	:: service[p] == 1 && (content1[head] != base[p] || content0[head] != c0) -> lost_update = true
	:: else
	fi;
	head = v;
	writer[v] = p;
	content0[v] = c0;
	content1[v] = c1;
	row_version++;
	applied[p]++
}

proctype publisher(byte p) {
	byte read_row, read_head, tries, rounds, own_content, c0, c1;

	/* Publish: refresh and resolveBaseVersions. */
	atomic {
		read_row = row_version;
		read_head = head;
		base[p] = (service[p] == 0 -> content0[head] : content1[head])
	}
	do
	:: rounds == ROUNDS ->
		outcome[p] = not_accepted; /* KindContended */
		break
	:: else ->
		d_step {
			rounds++;
			tries = 0;
			own_content = (service[p] == 0 -> content0[read_head] : content1[read_head]);
			c0 = (service[p] == 0 -> p + 1 : content0[read_head]);
			c1 = (service[p] == 1 -> p + 1 : content1[read_head])
		}
		/* checkConflicts: the service was changed after the base version. */
		if
		:: own_content != base[p] ->
			outcome[p] = not_accepted; /* KindConflict */
			break
		:: else
		fi;
swap:		if
		:: tries == TRIES ->
			outcome[p] = unknown; /* KindOutcomeUnknown */
			break
		:: else -> tries++
		fi;
		if
		:: atomic { UNCHANGED(read_row) -> write(p, read_head + 1, c0, c1) };
			if
			:: outcome[p] = accepted; break      /* the reply arrives */
			:: skip                              /* the reply is lost */
			fi
		:: !UNCHANGED(read_row) -> goto settle       /* KindStale */
		:: skip                                      /* the call is lost */
		:: nfull(late[p * 2 + rounds - 1]) ->   /* the call is late and its reply is lost */
			late[p * 2 + rounds - 1]!read_row, read_head + 1, c0, c1
		fi;
		/* rowChanged: while the row is unchanged, the outcome is unknown, so the same write is retried. */
		if
		:: row_version == read_row -> goto swap
		:: row_version != read_row -> goto settle
		:: goto swap                                 /* the read fails */
		fi;
settle:		if
		:: atomic { head > read_head && writer[read_head + 1] == p -> outcome[p] = accepted; break }
		:: atomic { !(head > read_head && writer[read_head + 1] == p) -> read_row = row_version; read_head = head }
		:: outcome[p] = unknown; break               /* the reads fail */
		fi
	od
}

/* Late calls reach the table at any time, or never. */
proctype network() {
	byte i, r, v, d0, d1;
end:	do
	:: atomic {
		if
		:: late[0]?r, v, d0, d1 -> i = 0
		:: late[1]?r, v, d0, d1 -> i = 0
		:: late[2]?r, v, d0, d1 -> i = 1
		:: late[3]?r, v, d0, d1 -> i = 1
		fi;
		if
		:: UNCHANGED(r) -> write(i, v, d0, d1)
		:: true
		fi
	}
	od
}

/* A node reads the head, loads the configuration and activates it if its version is higher. */
proctype node() {
	byte seen, previous;
end:	do
	:: node_version < VERSIONS - 1 && head != node_version ->
		seen = head;
		atomic {
			previous = node_version;
			node_version = (seen > node_version -> seen : node_version);
			assert(node_version >= previous)
		}
	od
}

#define WRONG(p) (applied[p] > 1 || (outcome[p] == accepted && applied[p] == 0) \
	|| (outcome[p] == not_accepted && applied[p] > 0))

proctype monitor() {
end:	atomic {
		reverted || lost_update || node_version > head || WRONG(0) || WRONG(1) ->
		assert(!reverted);            /* versions never decrease */
		assert(!lost_update);         /* an accepted publish is never overwritten by a publisher that has not read it */
		assert(node_version <= head); /* a node has no version that was not published */
		assert(!WRONG(0) && !WRONG(1)) /* the reported outcome is true */
	}
}

init {
	atomic {
		writer[0] = NONE;
		outcome[0] = running;
		outcome[1] = running;
		if
		:: service[1] = 0
		:: service[1] = 1
		fi;
		run publisher(0);
		run publisher(1);
		run network();
		run node();
		run monitor()
	}
}
