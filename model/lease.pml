/*
 * Leases over two hops: an entry VM asks a control VM, which gathers asks into
 * batches to the leader and hands on what the leader grants. Time is a counter
 * that any step may let pass; messages may be late, lost and out of order. The
 * leader is one here: model/control.pml is about its own lease.
 *
 * Promise: LEASE after a revision was accepted, the entry VM has it or has no
 * lease.
 *
 * Guards that a mutant removes: NO_NUMBER, NO_APPLIED, NO_PUSHNUMBER.
 */
#define LEASE 2
#define LATEST 5
#define ASKS 2
#define BATCHES 2
#define REVISIONS 1

byte now;

/* The leader. */
byte rev;
byte acceptedAt[REVISIONS + 1];

/* The entry VM: what it asked when, until when its lease runs, what it holds. */
byte asked, askedAt[ASKS + 1];
byte until, held;

/* The control VM: its copy of the log, the newest ask, its batches. */
byte applied, newest, granted;
byte batches, inBatch[BATCHES + 1];
bool answered[BATCHES + 1];
byte grantRev[BATCHES + 1];

/* A lease on its way to the entry VM. */
bool sent; byte sentNumber, sentRev;

#ifdef NO_APPLIED
#define MAY_HAND_ON true
#else
#define MAY_HAND_ON (applied >= grantRev[b])
#endif

inline give(number) {
	sent = true; sentNumber = number; sentRev = applied
}

active proctype system() {
	byte b;
	do
	:: atomic { now < LATEST -> now++ }
	:: atomic { rev < REVISIONS -> rev++; acceptedAt[rev] = now }
	:: atomic { applied < rev -> applied++ }
	:: atomic { asked < ASKS -> asked++; askedAt[asked] = now; newest = asked }
	:: atomic { batches < BATCHES && newest > 0 -> batches++; inBatch[batches] = newest }
	/* The leader grants a batch, once. */
	:: atomic {
		batches > 0 ->
		if :: b = 1 :: batches > 1 -> b = 2 fi;
		if :: !answered[b] -> answered[b] = true; grantRev[b] = rev :: else -> skip fi;
		b = 0
	}
	/* The control VM hands a grant on. */
	:: atomic {
		batches > 0 ->
		if :: b = 1 :: batches > 1 -> b = 2 fi;
		if
		:: answered[b] && MAY_HAND_ON ->
			if :: inBatch[b] > granted -> granted = inBatch[b] :: else -> skip fi;
#ifdef NO_NUMBER
			give(newest)
#else
			give(inBatch[b])
#endif
		:: else -> skip
		fi;
		b = 0
	}
	/* It pushes a change, under a number that was granted. */
	:: atomic {
		granted > 0 ->
#ifdef NO_PUSHNUMBER
		give(newest)
#else
		give(granted)
#endif
	}
	/* The entry VM takes the lease, or it is lost. */
	:: atomic {
		sent -> sent = false;
		if
		:: sentRev >= held ->
			held = sentRev;
			if
			:: askedAt[sentNumber] + LEASE > until -> until = askedAt[sentNumber] + LEASE
			:: else -> skip
			fi
		:: else -> skip
		fi;
		sentNumber = 0; sentRev = 0
	}
	:: atomic { sent -> sent = false; sentNumber = 0; sentRev = 0 }
	/* What must hold whenever time has passed. */
	:: atomic { held < rev -> assert(!(now < until && now >= acceptedAt[held + 1] + LEASE)) }
	:: now == LATEST && asked == ASKS -> break
	od
}
