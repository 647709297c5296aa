/*
 * Permits: a leader lends the permits of one target to two entry VMs, with asks and grants that
 * are lost, repeated and out of order, VMs that start again, and leaders that change.
 *
 * Time is a step: what a VM holds, and every grant on its way to it, is void at once, and the
 * leader forgets it only after that. A permit that is used comes anew (Refill) within the burst.
 *
 * Invariant: permits that can be used are never more than the burst.
 *
 * Mutants: NO_TAKEN (a VM takes a grant twice), NO_ONWAY (the leader forgets the grants on their
 * way when it is asked), NO_BURST (permits come anew whatever is lent), NO_WAIT (a new leader lends
 * before the permits of the one before are void), NO_LATER (the leader forgets what a VM holds
 * before that is void).
 */
#define VMS 2
#define BURST 1
#define ASKS 3
#define LEADERS 1

/* At the VMs. */
byte held[VMS];
byte taken[VMS];
byte asked[VMS];
byte voidTo[VMS];     /* grants to asks up to here are void */

/* At the leader. */
byte leader;
byte free;
byte lent[VMS];       /* what the VM's newest ask said it holds */
byte newest[VMS];
byte onWay[VMS * 4];  /* granted to an ask, by its number */
bool ready;
bool stale[VMS];      /* what the VM holds is void */

chan asks = [2] of { byte, byte, byte, byte, byte };  /* leader, VM, number, left, taken */
chan grants = [2] of { byte, byte, byte };            /* VM, number, count */

inline onWayOf(v) {
	sum = lent[v]; i = 1;
	do
	:: i <= ASKS -> sum = sum + onWay[v * 4 + i]; i++
	:: else -> break
	od
}

inline allLent() {
	total = 0; k = 0;
	do
	:: k < VMS -> onWayOf(k); total = total + sum; k++
	:: else -> break
	od
}

inline forget(v) {
	lent[v] = 0; i = 1;
	do
	:: i <= ASKS -> onWay[v * 4 + i] = 0; i++
	:: else -> break
	od
}

proctype EntryVM(byte v) {
	byte l, n, c;
end:	do
	:: atomic { asked[v] < ASKS && nfull(asks) -> asked[v]++; asks ! leader, v, asked[v], held[v], taken[v] }
	:: atomic { held[v] > 0 -> held[v]-- }
	:: atomic { grants ?? [eval(v), n, c] -> grants ?? eval(v), n, c;
		if
#ifdef NO_TAKEN
		:: n > voidTo[v] -> held[v] = held[v] + c; taken[v] = n
#else
		:: n > voidTo[v] && n > taken[v] -> held[v] = held[v] + c; taken[v] = n
#endif
		:: else
		fi; n = 0; c = 0 }
	:: atomic { voidTo[v] < asked[v] || held[v] > 0 -> held[v] = 0; voidTo[v] = asked[v]; stale[v] = true }
	od
}

proctype Leader() {
	byte l, v, n, left, t, i, k, sum, total, c;
end:	do
	:: atomic { asks ?? [l, v, n, left, t] -> asks ?? l, v, n, left, t;
		if
		:: l == leader && ready && n > newest[v] ->
			newest[v] = n; lent[v] = left; i = 1;
			do
			:: i <= ASKS ->
				if
#ifdef NO_ONWAY
				:: true -> onWay[v * 4 + i] = 0
#else
				:: i <= t -> onWay[v * 4 + i] = 0
#endif
				:: else
				fi; i++
			:: else -> break
			od;
			allLent();
			if
#ifndef NO_BURST
			:: free + total > BURST && total <= BURST -> free = BURST - total
			:: total > BURST -> free = 0
#endif
			:: else
			fi;
			if
			:: free > 0 && nfull(grants) -> free--; onWay[v * 4 + n] = 1; stale[v] = false; grants ! v, n, 1
			:: true
			fi
		:: else
		fi; l = 0; v = 0; n = 0; left = 0; t = 0; i = 0; k = 0; sum = 0; total = 0 }
	:: atomic { ready && free < BURST -> allLent();
		if
#ifdef NO_BURST
		:: true -> free++
#else
		:: free + total < BURST -> free++
		:: else
#endif
		fi; i = 0; k = 0; sum = 0; total = 0 }
#ifdef NO_LATER
	:: atomic { ready -> forget(0); i = 0 }
	:: atomic { ready -> forget(1); i = 0 }
#else
	:: atomic { ready && stale[0] -> forget(0); i = 0 }
	:: atomic { ready && stale[1] -> forget(1); i = 0 }
#endif
	:: atomic { leader < LEADERS -> leader++; free = 0; forget(0); forget(1); newest[0] = 0; newest[1] = 0; i = 0;
		stale[0] = false; stale[1] = false; ready = false }
#ifdef NO_WAIT
	:: atomic { !ready -> ready = true }
#else
	:: atomic { !ready && stale[0] && stale[1] -> ready = true }
#endif
	od
}

proctype Network() {
	byte l, v, n, left, t, c;
end:	do
	:: atomic { asks ?? [l, v, n, left, t] -> asks ?? l, v, n, left, t; l = 0; v = 0; n = 0; left = 0; t = 0 }
	:: atomic { grants ?? [v, n, c] -> grants ?? v, n, c; v = 0; n = 0; c = 0 }
	:: atomic { nempty(grants) && nfull(grants) -> grants ? <v, n, c>; grants ! v, n, c; v = 0; n = 0; c = 0 }
	od
}

active proctype Watch() {
end:	do
	:: atomic { held[0] + held[1] > BURST -> assert(false) }
	od
}

init { atomic { ready = true; run EntryVM(0); run EntryVM(1); run Leader(); run Network() } }
