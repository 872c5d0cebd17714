/* Publishing one customer's contract (state.Publish). Operators publish concurrently,
 * each naming the version it read. Appends take effect late, and their answers may be lost
 * after that. Entry VMs read the log or copy the state of each other, start empty, and
 * start from a snapshot once old records are trimmed.
 *
 * Faulty variants, in each of which the check must find a violation:
 *   LAST_WRITER    the newest record wins, whatever version it was based on
 *   NO_IDENTITY    a retry counts as a separate change
 *   RETRY_ANEW     a retry reads the version again and counts as a separate change
 *   PEER_OLDER     a VM adopts the state of a peer even if it is older
 *   SNAPSHOT_GAP   a VM starts from a snapshot although records that were
 *                  appended after it are already trimmed
 *   NO_CATCH_UP    a restarted VM serves before it has read to the log's end
 */
#ifndef OPERATORS
#define OPERATORS 2
#endif
#define VMS       2
#define TRIES     2 /* appends of one operator: the first attempt and one retry */
#define RECORDS   (OPERATORS * TRIES)
#define RESTARTS  1

/* What an operator knows of its change. */
#define UNKNOWN  0
#define ACCEPTED 1
#define CONFLICT 2

/* The log. A record's version is its offset + 1, so that 0 means "no contract". */
byte writer[RECORDS];
byte end;      /* number of records */
byte earliest; /* records below it are trimmed */

/* The state after applying each prefix of the log. */
byte in_force[RECORDS + 1];
byte outcome[RECORDS];  /* of the record when it is applied */
byte accepted[OPERATORS];
bool lost_update;       /* a change was accepted on a version that its author had not read */

/* One snapshot record: the state after snapshot_upto records. */
byte snapshot_upto;

/* Entry VMs: how many records each has applied, and the version it has in force. */
bool ready[VMS];
byte applied[VMS];
byte version[VMS];
byte must_reach[VMS];  /* a starting VM serves once it has applied this many */
byte highest[VMS];     /* the newest version that the VM ever served, restarts included */
byte restarts;

byte told[OPERATORS];

/* fold_record applies record o, which its author based on the version based_on. */
inline fold_record(o, based_on) {
	byte other = 0;
	outcome[o] = (based_on == in_force[o] -> ACCEPTED : CONFLICT);
#ifdef LAST_WRITER
	outcome[o] = ACCEPTED;
#endif
#if !defined(NO_IDENTITY) && !defined(RETRY_ANEW)
	/* A retry gets the outcome of the first record of its change. */
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
	/* Read the version at one VM, once, and append. The append may take effect at any
	 * later time, and its answer may never arrive. */
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
	/* Ask any VM for the outcome of one of the operator's records that it has applied. */
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
	/* Apply the next record of the log. */
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
	/* Adopt the state of a peer. Peers may be behind or ahead. */
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
	/* Start empty: serve only once all records that the log had at the start are applied. */
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
	/* Start from the snapshot, but only if the log still has every record after it. */
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
