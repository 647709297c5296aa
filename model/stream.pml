/*
 * Streams: one engine of a chain, two owners in turn, their keeper, late and
 * doubled messages. Positions are run, committed, kept and shown.
 *
 * An owner's run for a position may reach the engine late, or twice; so may
 * the answer. The new owner begins from what the keeper has.
 *
 * Guards that a mutant removes: NO_EPOCH (engine), NO_REPEAT (engine),
 * NO_MATCH (owner takes any answer), NO_KEEP (shown before kept),
 * NO_FENCEDKEEP (the keeper takes an old owner's update).
 */
#define MAXPOS 3

byte engineEpoch, engineNext, ranTwice;
byte epoch[2], pos[2], kept, keptOwner, shown;
bool owns[2], inFlight[2];
byte tokens[2];

/* One message of each kind may be late: (owner, epoch, position). */
bool order; byte orderOwner, orderEpoch, orderPos;
bool reply; byte replyOwner, replyEpoch, replyPos;
bool update; byte updateOwner, updateTokens;

active proctype system() {
	byte v; bool ok;
	owns[0] = true;
	do
	:: atomic {
		if :: v = 0 :: v = 1 fi;
		if
		:: owns[v] && !inFlight[v] && pos[v] < MAXPOS && !order ->
			inFlight[v] = true; order = true; orderOwner = v; orderEpoch = epoch[v]; orderPos = pos[v]
		/* The engine takes a order; the message may come again. */
		:: order ->
			ok = true;
#ifndef NO_EPOCH
			ok = (orderEpoch >= engineEpoch);
#endif
			if
			:: ok && orderPos <= engineNext ->
				if :: orderEpoch > engineEpoch -> engineEpoch = orderEpoch :: else -> skip fi;
				if
				:: orderPos == engineNext -> engineNext++
				:: else ->
#ifdef NO_REPEAT
					ranTwice = 1;
#endif
					skip                     /* the kept result is given again */
				fi;
				if :: !reply -> reply = true; replyOwner = orderOwner; replyEpoch = orderEpoch; replyPos = orderPos :: else -> skip fi
			:: ok && orderPos > engineNext -> skip     /* a gap: refused */
			:: else ->                       /* stale: the old owner learns that it has lost */
				owns[orderOwner] = (owns[orderOwner] && epoch[orderOwner] > orderEpoch)
			fi;
			assert(!ok || orderEpoch >= engineEpoch);
			if :: order = false :: skip fi
		/* An answer reaches its owner; it may come again. */
		:: reply ->
			ok = (owns[replyOwner] && inFlight[replyOwner] && replyEpoch == epoch[replyOwner] && replyPos == pos[replyOwner]);
#ifdef NO_MATCH
			ok = owns[replyOwner];
#endif
			if
			:: ok ->
				assert(replyPos == tokens[replyOwner]);   /* in order, each once */
				tokens[replyOwner]++; pos[replyOwner]++; inFlight[replyOwner] = false
			:: else -> skip
			fi;
			if :: reply = false :: skip fi
		/* A run that got no answer is asked for again. */
		:: owns[v] && inFlight[v] && !order -> order = true; orderOwner = v; orderEpoch = epoch[v]; orderPos = pos[v]
		:: owns[v] && tokens[v] > 0 && !update -> update = true; updateOwner = v; updateTokens = tokens[v]
		:: update ->
			ok = (updateOwner == keptOwner);
#ifdef NO_FENCEDKEEP
			ok = true;
#endif
			if
			:: ok ->
				if :: updateTokens > kept -> kept = updateTokens :: else -> skip fi
			:: else -> owns[updateOwner] = false
			fi;
			assert(updateOwner == keptOwner || !ok);
			update = false
		/* The caller sees what the keeper has. */
		:: owns[v] && tokens[v] > shown ->
#ifndef NO_KEEP
			if :: kept > shown && v == keptOwner -> shown++ :: else -> skip fi
#else
			shown++
#endif
		/* The caller comes to the other VM, which takes the stream over. */
		:: keptOwner == 0 && v == 1 ->
			keptOwner = 1; owns[1] = true; epoch[1] = 1; pos[1] = kept; tokens[1] = kept;
			assert(kept >= shown)                /* it can go on where the caller is */
		:: else -> skip
		fi;
		assert(ranTwice == 0);
		v = 0; ok = false
	   }
	od
}
