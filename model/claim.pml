/*
 * Claims: a request that may not be repeated, two entry VMs, crashes, late
 * messages and resends. The replicated state is one register that changes
 * atomically, which model/control.pml is about.
 *
 * Guards that a mutant removes: NO_CLAIM, NO_UNKNOWN, NO_ATTEMPT, NO_PEEK,
 * NO_PENDING.
 */
#define NONE 0
#define HELD 1
#define RAN  2
#define LOST 3                /* ended, nobody knows how */
#define MAXATTEMPT 3

/* The register. The holder is an entry VM's life: vm * 4 + incarnation. */
byte state = NONE, holder, attempt;
byte runs;
bool toldNotRun, toldAnswer;

/* Each entry VM. */
#define IDLE 0
#define CLAIMING 1
#define DISPATCHED 2
byte phase[2], tries[2], life[2];
byte pending[2], pendingAttempt[2];  /* a record not yet confirmed: 0, or 1 + what ran */
byte crashes = 1, asks = 3;

#define PNO 1
#define PYES 2
#define ID(v) ((v) * 4 + life[v])

/* A late copy of one message of each kind. */
bool lateRecord; byte lateHolder, lateAttempt;
bool lateGrant; byte grantVM, grantLife, grantAttempt;

inline apply_record(h, a, what) {
	ok = (state == HELD && holder == h);
#ifndef NO_ATTEMPT
	ok = ok && (attempt == a);
#endif
	if
	:: ok && what == PNO -> state = NONE; holder = 0; attempt = 0
	:: ok && what == PYES -> state = RAN
	:: else -> skip
	fi;
	ok = false
}

active proctype system() {
	byte v; bool ok;
	do
	:: atomic {
		if :: v = 0 :: v = 1 fi;
		if
		/* A caller asks, or asks again, at this VM. */
		:: asks > 0 && phase[v] == IDLE && tries[v] < MAXATTEMPT ->
			asks--;
#ifndef NO_PENDING
			if
			:: pending[v] == PYES -> toldAnswer = true
			:: else -> phase[v] = CLAIMING; tries[v]++
			fi
#else
			phase[v] = CLAIMING; tries[v]++
#endif
		/* It is refused before its claim was asked for. */
		:: asks > 0 && phase[v] == IDLE ->
			asks--;
#ifndef NO_PEEK
			if
			:: state == NONE && phase[1 - v] == IDLE -> toldNotRun = true
			:: else -> skip              /* told that it is not known */
			fi
#else
			if
			:: phase[1 - v] == IDLE -> toldNotRun = true
			:: else -> skip
			fi
#endif
		/* The claim is decided. */
		:: phase[v] == CLAIMING ->
#ifndef NO_CLAIM
			if
			:: state == NONE ->
				state = HELD; holder = ID(v); attempt = tries[v];
				if :: lateGrant = true; grantVM = v; grantLife = life[v]; grantAttempt = tries[v] :: skip fi;
				phase[v] = DISPATCHED; toldNotRun = false
			:: state == HELD && holder == ID(v) ->
				attempt = tries[v]; phase[v] = DISPATCHED; toldNotRun = false
			:: state == HELD && holder != ID(v) && life[holder / 4] != holder % 4 ->
				/* The holder is gone. */
#ifndef NO_UNKNOWN
				phase[v] = IDLE              /* told that it is not known */
#else
				holder = ID(v); attempt = tries[v]; phase[v] = DISPATCHED
#endif
			:: state == RAN -> phase[v] = IDLE; toldAnswer = true
			:: state == LOST -> phase[v] = IDLE
			:: else -> skip              /* busy elsewhere: ask again */
			fi
#else
			phase[v] = DISPATCHED; toldNotRun = false
#endif
		/* The claim is not decided in time: given up, and given back. */
		:: phase[v] == CLAIMING ->
			phase[v] = IDLE; pending[v] = PNO; pendingAttempt[v] = tries[v]
		/* The dispatch runs. */
		:: phase[v] == DISPATCHED ->
			runs++; assert(runs <= 1);
			phase[v] = IDLE; pending[v] = PYES; pendingAttempt[v] = tries[v]; toldAnswer = true
		/* The runner provably did not take it. */
		:: phase[v] == DISPATCHED ->
			phase[v] = IDLE; pending[v] = PNO; pendingAttempt[v] = tries[v]
		/* A record reaches the register, and is confirmed or not. */
		:: pending[v] > 0 ->
			apply_record(ID(v), pendingAttempt[v], pending[v]);
			if :: lateRecord = (pending[v] == PNO); lateHolder = ID(v); lateAttempt = pendingAttempt[v] :: skip fi;
			if :: pending[v] = 0 :: skip fi
		/* An old copy of a record that says: not run. */
		:: lateRecord -> apply_record(lateHolder, lateAttempt, PNO); lateRecord = false
		/* A grant that comes after its call has ended is given back. */
		:: lateGrant && phase[grantVM] == IDLE && life[grantVM] == grantLife ->
			if
			:: pending[grantVM] == 0 -> pending[grantVM] = PNO; pendingAttempt[grantVM] = grantAttempt
			:: else -> skip
			fi;
			lateGrant = false
		:: crashes > 0 ->
			crashes--; life[v]++;
			/* A dispatch may have left just before. */
			if
			:: phase[v] == DISPATCHED -> runs++; assert(runs <= 1)
			:: true -> skip
			fi;
			phase[v] = IDLE; pending[v] = 0
		:: else -> skip
		fi;
		assert(!(toldNotRun && runs > 0));
		v = 0
	   }
	od
}
