/*
 * A lease with a fencing token. Two candidates acquire the lease by a
 * conditional write. A holder may be paused for any time between the acquisition
 * and an order to the engine. The engine accepts an order only if its token is
 * not lower than the highest one that it has seen.
 *
 * Invariants: no two terms have the same token; the engine never obeys an
 * earlier holder after a later one.
 *
 * Mutants: NO_FENCE (the engine obeys orders with any token), NO_PRECONDITION
 * (writes are unconditional, and the writer chooses the token).
 */
#define MAX_TERMS 3

byte revision = 0;        /* revision of the lease object on the platform */
byte highestToken = 0;    /* highest token that the engine has seen */
byte newestObeyed = 0;    /* token of the newest holder that the engine has obeyed */
byte issueCount[6];       /* how often each token was issued */
byte terms = 0;

proctype candidate() {
  byte observed, token;
  do
  :: terms < MAX_TERMS ->
     observed = revision;
     /* Any time may pass here, in which the other candidate may act. */
     atomic {
       if
#ifdef NO_PRECONDITION
       :: terms++; revision = observed + 1; token = observed + 1; issueCount[token]++
#else
       :: revision == observed -> terms++; revision++; token = revision; issueCount[token]++
       :: revision != observed -> token = 0
#endif
       fi;
       assert(token == 0 || issueCount[token] == 1)
     };
     /* The holder may consider its term valid for any time. */
     do
     :: token > 0 ->
        atomic {
#ifdef NO_FENCE
          if
          :: true ->
#else
          if
          :: token >= highestToken ->
#endif
             highestToken = (token > highestToken -> token : highestToken);
             assert(token >= newestObeyed);
             newestObeyed = token
#ifndef NO_FENCE
          :: token < highestToken -> token = 0
#endif
          fi
        }
     :: break
     od
  :: terms >= MAX_TERMS -> break
  od
}

init { atomic { run candidate(); run candidate() } }
