/*
 * The control state: election, leader lease, freeze, restart, lost disk and
 * the fence of orders. model/README.md maps each step to its function.
 *
 * One process takes all steps, each atomic, in any order. Time is abstract:
 * a follower's promise to a leader ends only after that leader's lease has,
 * which is what the bound on clock drift gives. The log is a length: entry n
 * is in a replica's log when its length is n or more.
 *
 * With COMMON the specification has the start of all voters together in place of freezes
 * and orders: replica 0 may also be the one that learns that all have just started. Each
 * tells it twice, the second time after all have told it once, and a vote given early is
 * given in the life that was spoken of. That another replica may do so as well is left out:
 * it would multiply the states, and no step of the rule tells replicas apart.
 *
 * Guards that a mutant removes: NO_DENY, NO_WAIT, NO_RECHECK, NO_IDENTITY,
 * NO_LOGCHECK, NO_FENCE, NO_OWNTERM, NO_ALL, NO_SECOND, NO_LIFE, NO_UNHEARD.
 */
#define N 3
#define QUORUM 2
#define MAXTERM 2
#define MAXLOG 2

byte term[N], vote[N], llen[N], lterm[N];   /* durable; vote is 1 + candidate */
byte promise[N];              /* 1 + leader whose lease this replica respects */
byte leadTerm[N];             /* the term that this replica leads, or 0 */
bool lease[N], checked[N], frozen[N], member[N], fresh[N];
bool unheard[N];              /* has led or heard nobody in this life */
bool once[N], twice[N];       /* what replica 0 was told by others */
bool past[N];                 /* the life that it was told of is over */
byte committed;
byte applied[N];               /* what a leader answers from */
byte faults = 2;              /* crashes, lost disks and freezes to come */
byte orderTerm, targetTerm, wireTerm;

/* All have told of their lives: twice, and not a quorum of them only. */
#ifdef NO_ALL
#define started_together ((once[1] && twice[1]) || (once[2] && twice[2]))
#else
#ifdef NO_SECOND
#define started_together (once[1] && once[2])
#else
#define started_together (once[1] && once[2] && twice[1] && twice[2])
#endif
#endif

inline may_promise(j, i) {
	ok = (promise[j] == 0 || promise[j] == i + 1);
#ifdef NO_DENY
	ok = true;
#endif
}

inline counts(j) {
	ok = member[j];
#ifdef NO_IDENTITY
	ok = true;
#endif
}

inline up_to_date(i, j) {
	ok = (lterm[i] > lterm[j] || (lterm[i] == lterm[j] && llen[i] >= llen[j]));
#ifdef NO_LOGCHECK
	ok = true;
#endif
}

inline campaign(i) {
	term[i]++; vote[i] = i + 1; leadTerm[i] = 0; lease[i] = false; checked[i] = false;
	votes = 1; j = 0;
	do
	:: j < N ->
		if
		:: j != i && !frozen[j] && (term[i] > term[j] || (term[i] == term[j] && vote[j] == i + 1)) ->
			may_promise(j, i);
			if :: early -> early_vote(j) :: else -> skip fi;
			if
			:: ok ->
				up_to_date(i, j);
				if
				:: ok ->
					term[j] = term[i]; vote[j] = i + 1; leadTerm[j] = 0; lease[j] = false;
					counts(j);
					if :: ok -> votes++ :: else -> skip fi
				:: else -> skip
				fi
			:: else -> skip
			fi
		:: true -> skip      /* lost, or not asked */
		fi;
		j++
	:: else -> break
	od;
	if
	:: votes >= QUORUM -> leadTerm[i] = term[i]; fresh[i] = false; unheard[i] = false
	:: else -> skip
	fi;
	j = 0; votes = 0; ok = false; early = false
}

/* A voter that is in the life that it spoke of, and has heard no leader in it, does not
 * wait for a lease to run out. */
inline early_vote(j) {
	ok = ok || (unheard[j] && !past[j]);
#ifdef NO_LIFE
	ok = ok || unheard[j];
#endif
#ifdef NO_UNHEARD
	ok = ok || !past[j];
#endif
}

/* Replica 0 is told by replica j, or by itself, that it has heard nobody. */
inline told(j) {
	if
	:: past[j] || !once[j] -> once[j] = true; past[j] = false; twice[1] = false; twice[2] = false
	:: else ->
		if :: once[1] && once[2] -> twice[j] = true :: else -> skip fi
	fi
}

inline forget_told() {
	once[1] = false; once[2] = false; twice[1] = false; twice[2] = false; past[1] = false; past[2] = false
}

inline started(i) {
#ifdef COMMON
	unheard[i] = true;
	if :: i == 0 -> forget_told() :: else -> past[i] = once[i] fi
#else
	skip
#endif
}

/* A round of heartbeats: a quorum that answers gives the lease. */
inline round(i) {
	votes = 1; j = 0;
	do
	:: j < N ->
		if
		:: j != i && !frozen[j] && term[j] <= term[i] && member[j] ->
			if :: term[j] < term[i] -> vote[j] = 0; term[j] = term[i]; leadTerm[j] = 0; lease[j] = false :: else -> skip fi;
			promise[j] = i + 1; unheard[j] = false;
			votes++
		:: true -> skip
		fi;
		j++
	:: else -> break
	od;
	if :: votes >= QUORUM -> lease[i] = true; promise[i] = i + 1 :: else -> skip fi;
	j = 0; votes = 0
}

/* The leader appends and a quorum syncs: the entry is committed. */
inline replicate(i) {
	llen[i]++; lterm[i] = term[i];
	votes = 1; j = 0;
	do
	:: j < N ->
		if
		:: j != i && !frozen[j] && term[j] <= term[i] && member[j] ->
			if :: term[j] < term[i] -> vote[j] = 0; term[j] = term[i]; leadTerm[j] = 0; lease[j] = false :: else -> skip fi;
			llen[j] = llen[i]; lterm[j] = lterm[i]; unheard[j] = false; votes++
		:: true -> skip
		fi;
		j++
	:: else -> break
	od;
	if
	:: votes >= QUORUM ->
		assert(llen[i] > committed);          /* nothing accepted is lost */
		committed = llen[i]; applied[i] = llen[i]; fresh[i] = true
	:: else -> skip
	fi;
	j = 0; votes = 0
}

inline expire_promise(j) {
	k = promise[j];
	if
	:: k > 0 && (k > N || !lease[k - 1]) -> promise[j] = 0
	:: else -> skip
	fi;
	k = 0
}

active proctype system() {
	byte i, j, k, votes; bool ok, early;
	d_step { i = 0; do :: i < N -> member[i] = true; i++ :: else -> break od; i = 0 }
	do
	:: atomic {
		if :: i = 0 :: i = 1 :: i = 2 fi;
		if
		:: !frozen[i] && member[i] && term[i] < MAXTERM && promise[i] == 0 -> campaign(i)
#ifdef COMMON
		:: !frozen[i] && i > 0 && member[i] && unheard[i] && !frozen[0] && unheard[0] && member[0] -> told(i)
		:: i == 0 && !frozen[0] && member[0] && term[0] < MAXTERM && unheard[0] && started_together ->
			early = true; campaign(i); forget_told()
		:: faults > 0 ->                         /* power is lost */
			faults--; k = 0;
			do
			:: k < N ->
				leadTerm[k] = 0; lease[k] = false; checked[k] = false; fresh[k] = false; applied[k] = 0;
				unheard[k] = true; k++
			:: else -> break
			od;
			forget_told(); k = 0
#endif
		:: !frozen[i] && leadTerm[i] > 0 && leadTerm[i] == term[i] -> round(i)
		:: !frozen[i] && leadTerm[i] > 0 && leadTerm[i] == term[i] && llen[i] < MAXLOG -> replicate(i)
		:: lease[i] -> lease[i] = false      /* also while frozen: clocks go on */
		:: promise[i] > 0 -> expire_promise(i)
		/* Answering takes two steps: a process can be stopped in between. */
		:: !frozen[i] && lease[i] && leadTerm[i] == term[i] && !checked[i] ->
#ifndef NO_OWNTERM
			if :: fresh[i] -> checked[i] = true :: else -> skip fi
#else
			checked[i] = true
#endif
		:: !frozen[i] && checked[i] ->
			checked[i] = false;
			ok = lease[i];
#ifdef NO_RECHECK
			ok = true;
#endif
			if
			:: ok -> assert(applied[i] >= committed);   /* no stale answer */
#ifndef COMMON
			   if :: wireTerm == 0 -> wireTerm = term[i] :: else -> skip fi
#else
			   skip
#endif
			:: else -> skip
			fi;
			ok = false
#ifndef COMMON
		/* An order reaches its target, at any time after it was sent. */
		:: wireTerm > 0 ->
#ifndef NO_FENCE
			if
			:: wireTerm >= targetTerm -> targetTerm = wireTerm
			:: else -> skip
			fi;
#else
			assert(wireTerm >= targetTerm);
			targetTerm = wireTerm;
#endif
			if :: wireTerm = 0 :: skip fi    /* it may come again */
		:: wireTerm > 0 && lease[i] && leadTerm[i] > wireTerm && !frozen[i] ->
			targetTerm = leadTerm[i]         /* the successor's order overtakes it */
		:: faults > 0 && !frozen[i] -> faults--; frozen[i] = true
		:: frozen[i] -> frozen[i] = false
#endif
		:: faults > 0 && !frozen[i] ->           /* crash and restart */
			faults--; leadTerm[i] = 0; lease[i] = false; checked[i] = false; fresh[i] = false; applied[i] = 0;
			started(i);
#ifndef NO_WAIT
			skip                             /* it waits as if it had just heard a leader */
#else
			promise[i] = 0
#endif
		:: faults > 0 && !frozen[i] && member[i] -> /* its folder is gone */
			faults--; leadTerm[i] = 0; lease[i] = false; checked[i] = false; fresh[i] = false; applied[i] = 0;
			term[i] = 0; vote[i] = 0; llen[i] = 0; lterm[i] = 0; promise[i] = 0;
			started(i);
#ifndef NO_IDENTITY
			member[i] = false
#else
			skip
#endif
		:: else -> skip
		fi;
		/* At most one leader may answer. */
		assert(!(lease[0] && lease[1] && leadTerm[0] == term[0] && leadTerm[1] == term[1]));
		assert(!(lease[0] && lease[2] && leadTerm[0] == term[0] && leadTerm[2] == term[2]));
		assert(!(lease[1] && lease[2] && leadTerm[1] == term[1] && leadTerm[2] == term[2]));
		i = 0
	   }
	od
}
