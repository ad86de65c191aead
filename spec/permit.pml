/*
 * A limit of one request a tick, which a runner has named, in two parts. The routers of the
 * list of schedulers grant sends, each one in two ticks. The list changes once, from the
 * routers 0 and 1 to 1 and 2, and each router reads the new one within LAG ticks; a router may
 * restart. A permit is used within VALID ticks, or never. A router that begins to grant waits
 * HOLD ticks.
 *
 * Invariant: within any WINDOW ticks the runner gets no more than the limit brings in during
 * them and the time of a permit, and one request a part.
 *
 * Mutants: NO_HOLD (a new scheduler grants at once), NO_END (permits are used at any time),
 * STAYS (a router that is no longer listed goes on to grant).
 */
#define END 12
#define WINDOW 4
#define VALID 1
#define LAG 2
#define HOLD (LAG + VALID + 1)
#define PARTS 2
#define ALLOWED (WINDOW + VALID + PARTS)

byte now = 0;
bool changed = false;
byte changedAt;
bool restarted = false;

bool read[3];          /* has read the new list */
bool grants[3];        /* is a scheduler by the list that it has read */
byte from[3];          /* grants from this tick on */
byte next[3];          /* when its next permit is due */
byte held[3];          /* permits that are not used yet */
byte heldAt[3];        /* when the oldest of them was granted */
byte sent[WINDOW];     /* requests in each of the last ticks */

inline begin(k) {
  grants[k] = true;
#ifdef NO_HOLD
  from[k] = now;
#else
  from[k] = now + HOLD;
#endif
}

inline takeList(k) {
  read[k] = true;
  if
  :: k == 2 -> begin(k)
#ifndef STAYS
  :: k == 0 -> grants[k] = false
#endif
  :: else
  fi
}

inline restart(k) {
  restarted = true;
  next[k] = 0;
  held[k] = 0;
  read[k] = changed;
  if
  :: (changed && k > 0) || (!changed && k < 2) -> begin(k)
  :: else -> grants[k] = false
  fi
}

inline step(k) {
  if
  :: changed && !read[k] && now - changedAt >= LAG -> takeList(k)
  :: changed && !read[k] && now - changedAt < LAG ->
     if
     :: takeList(k)
     :: true
     fi
  :: else
  fi;
  if
  :: !restarted -> restart(k)
  :: true
  fi;
  if
  :: grants[k] && now >= from[k] && now >= next[k] ->
     if
     :: next[k] = now + PARTS;
        heldAt[k] = (held[k] == 0 -> now : heldAt[k]);
        held[k]++
     :: true
     fi
  :: else
  fi;
  do
  :: held[k] > 0 -> held[k]--; sent[0]++
  :: break
  od;
#ifndef NO_END
  if
  :: held[k] > 0 && now - heldAt[k] >= VALID -> held[k] = 0
  :: else
  fi
#endif
}

active proctype world() {
  grants[0] = true;
  grants[1] = true;
  do
  :: now < END -> atomic {
       if
       :: !changed -> changed = true; changedAt = now
       :: true
       fi;
       step(0);
       step(1);
       step(2);
       assert(sent[0] + sent[1] + sent[2] + sent[3] <= ALLOWED);
       sent[3] = sent[2];
       sent[2] = sent[1];
       sent[1] = sent[0];
       sent[0] = 0;
       now++
     }
  :: now == END -> break
  od
}
