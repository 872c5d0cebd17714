/* Publishing one customer's contract (state.Publish): operators race, each naming
 * the version it read; appends land late, and their answers are lost after they
 * took effect; entry VMs follow through the log or through each other, start
 * empty, and start from a snapshot once old records are trimmed.
 *
 * Naive variants, each of which must be found broken:
 *   LAST_WRITER    the newest record wins, whatever version it was based on
 *   NO_IDENTITY    a retry is judged as a change of its own
 *   RETRY_ANEW     a retry reads the version again and is a change of its own
 *   PEER_OLDER     a VM takes whatever a peer has, also if it is older
 *   SNAPSHOT_GAP   a VM starts from a snapshot although records that were
 *                  appended after it are already trimmed
 *   NO_CATCH_UP    a restarted VM serves before it read to the log's end
 */
#ifndef OPERATORS
#define OPERATORS 2
#endif
#define VMS       2
#define TRIES     2 /* appends of one operator: the first and one retry */
#define RECORDS   (OPERATORS * TRIES)
#define RESTARTS  1

/* What an operator knows of its change. */
#define UNKNOWN  0
#define ACCEPTED 1
#define CONFLICT 2

/* The log. A record's version is its offset + 1, so that 0 is "no contract". */
byte writer[RECORDS];
byte end;      /* number of records */
byte earliest; /* records below it are trimmed */

/* The fold of the whole log at each of its lengths. */
byte in_force[RECORDS + 1];
byte outcome[RECORDS];  /* of the record, as the fold answers it */
byte accepted[OPERATORS];
bool lost_update;       /* a change was accepted on a version that its author had not read */

/* One snapshot record: the state after snapshot_upto records. */
byte snapshot_upto;

/* Entry VMs: how many records each has folded, and what it has in force. */
bool ready[VMS];
byte applied[VMS];
byte version[VMS];
byte must_reach[VMS];  /* a starting VM serves once it has folded this many */
byte highest[VMS];     /* the newest version that the VM ever served, restarts included */
byte restarts;

byte told[OPERATORS];

/* fold_record folds record o, which its author based on the version based_on. */
inline fold_record(o, based_on) {
	byte other = 0;
	outcome[o] = (based_on == in_force[o] -> ACCEPTED : CONFLICT);
#ifdef LAST_WRITER
	outcome[o] = ACCEPTED;
#endif
#if !defined(NO_IDENTITY) && !defined(RETRY_ANEW)
	/* A retry folds to the outcome of its first landing. */
	bool repeated = false;
	do
	:: other < o ->
		if
		:: writer[other] == writer[o] && !repeated ->
			repeated = true;
			outcome[o] = outcome[other]
		:: else
		fi;
		other++
	:: else -> break
	od;
	if
	:: repeated -> in_force[o + 1] = in_force[o]
	:: else -> settle_record(o, based_on)
	fi
#else
	settle_record(o, based_on)
#endif
}

inline settle_record(o, based_on) {
	if
	:: outcome[o] == ACCEPTED ->
		lost_update = lost_update || based_on != in_force[o];
		in_force[o + 1] = o + 1;
		accepted[writer[o]]++
	:: else -> in_force[o + 1] = in_force[o]
	fi
}

proctype Operator(byte me) {
	byte read_version;
	byte sent = 0;
	byte landed = 0;
	byte vm;
	byte offset;
	do
	/* Read the version at some VM, once, and append. The append may land at any
	 * later time, and its answer may never come. */
	:: atomic { sent == 0 ->
		if
		:: ready[0] -> read_version = version[0]
		:: ready[1] -> read_version = version[1]
		fi;
		sent++ }
	:: atomic { sent > 0 && sent < TRIES && told[me] == UNKNOWN ->
#ifdef RETRY_ANEW
		if
		:: landed == sent && ready[0] -> read_version = version[0]
		:: landed == sent && ready[1] -> read_version = version[1]
		fi;
#endif
		sent++ }
	:: d_step { landed < sent ->
		writer[end] = me;
		fold_record(end, read_version);
		end++;
		landed++;
		assert(!lost_update);
		assert(accepted[me] <= 1);
		assert(!(told[me] == CONFLICT && accepted[me] > 0)) }
	/* Ask any VM for the outcome of the newest landing that it has folded. */
	:: atomic { told[me] == UNKNOWN && landed > 0 ->
		select(vm : 0 .. VMS - 1);
		select(offset : 0 .. RECORDS - 1);
		if
		:: ready[vm] && offset < applied[vm] && writer[offset] == me ->
			told[me] = outcome[offset];
			assert(!(told[me] == CONFLICT && accepted[me] > 0))
		:: else
		fi;
		vm = 0;
		offset = 0 }
	od
}

inline serve(vm) {
	ready[vm] = true;
	assert(version[vm] == in_force[applied[vm]]);
	assert(version[vm] >= highest[vm]);
	highest[vm] = version[vm]
}

proctype EntryVM(byte me) {
	byte peer = 1 - me;
	do
	/* Fold the next record of the log. */
	:: d_step { applied[me] < end && applied[me] >= earliest ->
		if
		:: outcome[applied[me]] == ACCEPTED && in_force[applied[me] + 1] == applied[me] + 1 ->
			version[me] = applied[me] + 1
		:: else
		fi;
		applied[me]++;
		if
		:: ready[me] -> serve(me)
		:: else
		fi }
	/* Take the state of a peer, which lags or leads. */
#ifdef PEER_OLDER
	:: d_step { ready[peer] ->
#else
	:: d_step { ready[peer] && applied[peer] > applied[me] ->
#endif
		applied[me] = applied[peer];
		version[me] = version[peer];
		if
		:: ready[me] -> serve(me)
		:: else
		fi }
	/* Start empty: serve only once all that the log held at the start is folded. */
	:: d_step { restarts < RESTARTS ->
		restarts++;
		ready[me] = false;
		applied[me] = 0;
		version[me] = 0;
		must_reach[me] = end }
#ifdef NO_CATCH_UP
	:: d_step { !ready[me] -> serve(me) }
#else
	:: d_step { !ready[me] && applied[me] >= must_reach[me] -> serve(me); must_reach[me] = 0 }
#endif
	/* Start from the snapshot: only if every record after it is still there. */
#ifdef SNAPSHOT_GAP
	:: d_step { !ready[me] && applied[me] < snapshot_upto ->
		version[me] = in_force[snapshot_upto];
		applied[me] = (snapshot_upto > earliest -> snapshot_upto : earliest) }
#else
	:: d_step { !ready[me] && applied[me] < snapshot_upto && snapshot_upto >= earliest ->
		version[me] = in_force[snapshot_upto];
		applied[me] = snapshot_upto }
#endif
	/* Write a snapshot. An older one never replaces a newer one. */
	:: d_step { ready[me] && applied[me] > snapshot_upto -> snapshot_upto = applied[me] }
	od
}

proctype Retention() {
	do
	:: earliest < end -> earliest++
	od
}

init {
	atomic {
		ready[0] = true;
		ready[1] = true;
		byte i = 0;
		do
		:: i < OPERATORS -> run Operator(i); i++
		:: else -> break
		od;
		run EntryVM(0);
		run EntryVM(1);
		run Retention()
	}
}
