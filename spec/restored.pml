/* Which entry VM may send orders to the engines of one shard when the registry is
 * restored from an older copy (lease.Shards.HandleRegistryRestore, hosted.updateOwnership).
 * The registry assigns the shard to one entry VM after another. An owner records itself and
 * asks the owner that the record names to stop, or waits LONGEST ticks, after which that
 * owner can't act any more. Once, at any time, the registry returns to a copy that was made at any earlier
 * time: its assignment and its record are those of the copy, and a new epoch begins. A VM
 * may be disconnected from the registry for any time, and calls between VMs may fail.
 *
 * Property: an order arrives at least QUIET ticks after the newest order of another VM
 * ("turns"), and never with a lower token ("tokens").
 *
 * Faulty variants, in each of which the check must find a violation:
 *   RECORDS_TRUSTED  a record of an earlier epoch is trusted to name the last owner
 *   HOLD_BROKEN      an owner continues after the restore although its HOLD had expired
 *   NO_EPOCH         generations are reused after the restore
 * WITNESS shows that two VMs send orders after a restore ("ordered_by_two").
 */
#define VMS 2
#ifndef GENERATIONS
#define GENERATIONS 3 /* the registry reassigns the shard GENERATIONS - 1 times in each epoch */
#endif
#define HOLD 1
#define FLIGHT 1
#define QUIET 1
#define LONGEST (HOLD + FLIGHT + QUIET)
#define NOBODY VMS

/* The registry, and its copy. */
byte epoch;
byte generation = 1;
byte assigned_to;
byte record_vm = NOBODY;
byte record_generation;
byte record_epoch;
bool copied;
byte copy_generation, copy_assigned, copy_vm, copy_record;

/* Positions order generations by epoch first. */
#ifdef NO_EPOCH
#define position(e, g) (g)
#else
#define position(e, g) ((e) * (GENERATIONS + 1) + (g))
#endif

/* A VM's state: lease.shard. */
bool held[VMS];
bool stopped[VMS];
bool unrecorded[VMS];
bool doubtful[VMS];
byte known[VMS];    /* position of the newest join */
byte known_epoch[VMS];
byte token[VMS];    /* position of its record, 0 before */
byte start_in[VMS];
byte joined[VMS];   /* age of the newest answered join, from its sending */
byte asked[VMS];    /* age of the join in flight */
byte ordered[VMS];
bool sent[VMS];
byte order_age[VMS];

byte newest_by = NOBODY;
byte newest_age;
byte newest_token;

#define older(age, most) if :: age < most -> age++ :: else fi
#define may_order(v) (held[v] && !stopped[v] && !doubtful[v] && !unrecorded[v] && token[v] != 0 && start_in[v] == 0 && joined[v] < HOLD)

inline arrive(v) {
	assert(newest_by == NOBODY || newest_by == v || newest_age >= QUIET /* turns */);
	assert(token[v] >= newest_token /* tokens */);
#ifdef WITNESS
	assert(epoch == 0 || newest_by == NOBODY || newest_by == v /* ordered_by_two */);
#endif
	newest_by = v;
	newest_age = 0;
	newest_token = token[v]
}

active proctype clock() {
	byte v;
	do
	:: atomic {
		older(newest_age, QUIET);
		v = 0;
		do
		:: v < VMS ->
			older(joined[v], HOLD);
			older(asked[v], HOLD);
			older(ordered[v], QUIET);
			if :: start_in[v] > 0 -> start_in[v]-- :: else fi;
			if
			:: sent[v] && order_age[v] >= FLIGHT -> sent[v] = false; order_age[v] = 0; ordered[v] = 0
			:: sent[v] && order_age[v] < FLIGHT -> order_age[v]++
			:: else
			fi;
			v++
		:: else -> break
		od;
		v = 0
	}
	od
}

active proctype registry() {
	byte v;
	do
	:: generation < GENERATIONS -> atomic {
		generation++;
		select(v : 0 .. (VMS - 1));
		assigned_to = v;
		v = 0
	}
	:: atomic { !copied -> copied = true;
		copy_generation = generation; copy_assigned = assigned_to;
		copy_vm = record_vm; copy_record = record_generation }
	:: atomic { copied && epoch == 0 -> epoch = 1;
		generation = copy_generation; assigned_to = copy_assigned;
		record_vm = copy_vm; record_generation = copy_record; record_epoch = 0 }
	od
}

proctype orders(byte v) {
	do
	:: atomic { !sent[v] && may_order(v) -> sent[v] = true; ordered[v] = 0 }
	:: atomic { sent[v] && !unrecorded[v] && token[v] != 0 -> arrive(v); sent[v] = false; order_age[v] = 0; ordered[v] = 0 }
	od
}

inline renew(v) { token[v] = 0; unrecorded[v] = false; doubtful[v] = false; start_in[v] = 0 }

/* HandleRegistryRestore, then ApplyJoin. */
inline take_join(v) {
	if
	:: sampled_epoch > known_epoch[v] && held[v] && !stopped[v] ->
		if
#ifdef HOLD_BROKEN
		:: token[v] != 0 -> unrecorded[v] = true
#else
		:: token[v] != 0 && unbroken -> unrecorded[v] = true
#endif
		:: else -> renew(v)
		fi
	:: sampled > known[v] && sampled_epoch == known_epoch[v] && held[v] -> doubtful[v] = true
	:: else
	fi;
	known[v] = sampled;
	known_epoch[v] = sampled_epoch;
	if :: asked[v] < joined[v] -> joined[v] = asked[v] :: else fi;
	asked[v] = HOLD;
	if
	:: !mine && held[v] -> stopped[v] = true
	:: mine && (!held[v] || stopped[v]) -> held[v] = true; stopped[v] = false; renew(v)
	:: else
	fi
}

proctype joins(byte v) {
	byte sampled, sampled_epoch, former, wait, other;
	bool mine, unbroken, untrusted, told;
	do
	:: atomic { asked[v] = 0; unbroken = (joined[v] < HOLD); sampled_epoch = epoch; sampled = position(epoch, generation); mine = (assigned_to == v) }
	   if
	   :: skip /* the answer is lost */
	   :: atomic { (sampled >= known[v] || sampled_epoch > known_epoch[v]) && sampled_epoch >= known_epoch[v] -> take_join(v) }
	      if
	      /* The owner's record is read, compared and written conditionally. */
	      :: atomic { held[v] && !stopped[v] && epoch == known_epoch[v] && sampled == position(epoch, generation) ->
			former = record_vm;
			untrusted = (record_epoch != epoch);
#ifdef RECORDS_TRUSTED
			untrusted = false;
#endif
			if
			:: unrecorded[v] -> record_vm = v; record_generation = known[v]; record_epoch = epoch; token[v] = known[v]; unrecorded[v] = false; doubtful[v] = false
			:: !unrecorded[v] && token[v] != 0 && doubtful[v] ->
				if
				:: record_vm == v && record_generation == token[v] && record_epoch == epoch -> doubtful[v] = false
				:: else -> renew(v)
				fi
			:: else
			fi;
			if
			:: token[v] != 0 || (former != NOBODY && record_generation > known[v])
			:: else ->
				record_vm = v; record_generation = known[v]; record_epoch = epoch;
				other = former;
				wait = LONGEST;
				if
				:: untrusted
				:: !untrusted && (former == NOBODY || former == v) -> if :: former == NOBODY -> wait = 0 :: else fi
				:: !untrusted && former != NOBODY && former != v ->
					if
					:: skip /* it does not answer */
					:: !(held[other] && !stopped[other] && known[other] >= known[v]) && !(held[other] && start_in[other] > 0) ->
						stopped[other] = true;
						if
						:: sent[other] -> wait = QUIET + FLIGHT
						:: else -> wait = QUIET - ordered[other]
						fi
					fi
				fi;
				token[v] = known[v];
				start_in[v] = wait
			fi;
			former = 0; other = 0; wait = 0; untrusted = false
		 }
	      :: skip
	      fi
	   :: atomic { else -> asked[v] = HOLD }
	   fi;
	   atomic { sampled = 0; sampled_epoch = 0; mine = false; unbroken = false }
	od
}

init {
	byte v = 0;
	atomic {
		do
		:: v < VMS -> joined[v] = HOLD; asked[v] = HOLD; ordered[v] = QUIET; run orders(v); run joins(v); v++
		:: else -> break
		od
	}
}
