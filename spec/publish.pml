/*
 * Publishing protocol of hemlockconfiguration: two publishers, a head row with compare-and-set, lost calls, lost
 * replies, writes that take effect late, and a node that reads.
 *
 * Steps and the functions that they stand for:
 *   first step, settle   attempt.refresh: HeadStore.ReadHead and Load
 *   conflict             attempt.conflict, with the bases of attempt.settleBases
 *   swap                 HeadStore.SwapHead as called by attempt.commit, with the fate of its call
 *   moved                attempt.moved
 *   settle               attempt.settle: the nonce of the version in the history decides
 *   network              a SwapHead whose reply was lost and that reaches the table later, or never
 *   node                 Holder.Take of what Load returned
 *
 * Objects are stored before the swap and never change, so a head stands for its configuration. The publishers change
 * one service each, the same or two different ones. The history is longer
 * than the versions of a run, as it is in the program except for a publisher that was away for 64 versions, which
 * then reports an unknown outcome.
 *
 * -DWITHOUT_CAS removes the condition of the write; the invariants must then fail.
 */

#define PUBLISHERS 2
#ifndef TRIES
#define TRIES 3        /* calls of one swap before the outcome is reported as unknown */
#endif
#ifndef ROUNDS
#define ROUNDS 2       /* writes of a publish, each but the first after a lost race */
#endif
#define VERSIONS 4     /* two publishers write two versions at most */

#define NONE 9

mtype = { running, accepted, not_accepted, unknown };

/* The head row, and for each version its writer and its content: the last publish that each service has from. */
byte row = 0;
byte head = 0;
byte writer[VERSIONS];          /* the publisher that the nonce names, or NONE */
byte content0[VERSIONS];
byte content1[VERSIONS];

/* Calls of SwapHead that are still on their way: one for each publisher and round, of which there are at most two. */
chan late[4] = [1] of { byte, byte, byte, byte };  /* row, version, content */

mtype outcome[PUBLISHERS];
byte times[PUBLISHERS];         /* how often the publish took effect */
byte service[PUBLISHERS];       /* the service that the publisher changes */
byte base[PUBLISHERS];          /* the content of that service at the base version */
bool unseen = false;            /* a write replaced a publish that its publisher had not read */
bool reverted = false;          /* the version of the head did not rise by one */
byte node_version = 0;

/* The condition of the table: the row has not been written since it was read. */
#ifdef WITHOUT_CAS
#define HOLDS(r) (head + 1 < VERSIONS)
#else
#define HOLDS(r) ((r) == row)
#endif

/* Writes the head on behalf of publisher p. It may replace only what it has read: the other service stays as the head
 * has it, and its own service is as it was at the base version. */
inline write(p, v, c0, c1) {
	if
	:: v != head + 1 -> reverted = true
	:: else
	fi;
	if
	:: service[p] == 0 && (content0[head] != base[p] || content1[head] != c1) -> unseen = true
	:: service[p] == 1 && (content1[head] != base[p] || content0[head] != c0) -> unseen = true
	:: else
	fi;
	head = v;
	writer[v] = p;
	content0[v] = c0;
	content1[v] = c1;
	row++;
	times[p]++
}

proctype publisher(byte p) {
	byte my_row, my_head, tries, rounds, own, c0, c1;

	/* Publish: refresh and settleBases. */
	atomic {
		my_row = row;
		my_head = head;
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
			own = (service[p] == 0 -> content0[my_head] : content1[my_head]);
			c0 = (service[p] == 0 -> p + 1 : content0[my_head]);
			c1 = (service[p] == 1 -> p + 1 : content1[my_head])
		}
		/* conflict: the service was changed after the base. */
		if
		:: own != base[p] ->
			outcome[p] = not_accepted; /* KindConflict */
			break
		:: else
		fi;
swap:		if
		:: tries == TRIES ->
			outcome[p] = unknown; /* KindUnknown */
			break
		:: else -> tries++
		fi;
		if
		:: atomic { HOLDS(my_row) -> write(p, my_head + 1, c0, c1) };
			if
			:: outcome[p] = accepted; break      /* the reply arrives */
			:: skip                              /* the reply is lost */
			fi
		:: !HOLDS(my_row) -> goto settle             /* KindStale */
		:: skip                                      /* the call is lost */
		:: nfull(late[p * 2 + rounds - 1]) ->   /* the call is late and its reply is lost */
			late[p * 2 + rounds - 1]!my_row, my_head + 1, c0, c1
		fi;
		/* moved: a row that has not moved leaves the outcome open, so the same write is sent again. */
		if
		:: row == my_row -> goto swap
		:: row != my_row -> goto settle
		:: goto swap                                 /* the read fails */
		fi;
settle:		if
		:: atomic { head > my_head && writer[my_head + 1] == p -> outcome[p] = accepted; break }
		:: atomic { !(head > my_head && writer[my_head + 1] == p) -> my_row = row; my_head = head }
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
		:: HOLDS(r) -> write(i, v, d0, d1)
		:: true
		fi
	}
	od
}

/* A node reads the head, loads the configuration and takes it if its version is higher. */
proctype node() {
	byte seen, before;
end:	do
	:: node_version < VERSIONS - 1 && head != node_version ->
		seen = head;
		atomic {
			before = node_version;
			node_version = (seen > node_version -> seen : node_version);
			assert(node_version >= before)
		}
	od
}

#define WRONG(p) (times[p] > 1 || (outcome[p] == accepted && times[p] == 0) \
	|| (outcome[p] == not_accepted && times[p] > 0))

proctype monitor() {
end:	atomic {
		reverted || unseen || node_version > head || WRONG(0) || WRONG(1) ->
		assert(!reverted);            /* versions never revert */
		assert(!unseen);              /* an accepted configuration is never overwritten unseen */
		assert(node_version <= head); /* a node has nothing that was not published */
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
