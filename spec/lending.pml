/* Lending of a divisible quantity between VMs: package share.
 *
 * A lender holds up to CAP units. Borrowers ask for one unit each over a network that loses, delays and
 * repeats messages. The lender's process may crash and start again on the same address, or its VM may
 * leave the platform's list and a successor take its slots. Any process may be frozen at any step, since the
 * interleaving is arbitrary. The clocks of borrowers may run slow by SKEW ticks in all.
 *
 * Property: the units that could be spent at one instant never exceed CAP.
 *
 * Broken variants: FROM_RECEIPT, NO_QUIET, NO_MARGIN, KEEP_ROOM, EARLY_RECLAIM.
 */
#define CAP 2
#define TERM 2
#define SKEW 1
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN SKEW
#endif
#define MAXT 5
#define N 2

byte now = 0;             /* the lender's and the successor's clock */
byte slow[N];             /* by how much a borrower's clock is behind */
bool up = true;           /* the lender's process runs */
bool gone = false;        /* the lender's VM has left the list */
byte goneAt = 0;
byte level = CAP;
byte quiet = 0;           /* no inflow before this time */
bool lent[N];
byte lentUntil[N];
bool successor = false;
byte successorLevel = 0;

bool asked[N];            /* an ask is on its way */
byte askedAt[N];          /* by the borrower's clock */
bool granted[N];          /* an answer is on its way */
bool returned[N];         /* a return is on its way */
bool holds[N];
byte holdsUntil[N];       /* by the borrower's clock */

#define clock(b) (now - slow[b])
#define spendable(b) (holds[b] && clock(b) < holdsUntil[b] -> 1 : 0)
#define room (CAP - (lent[0] -> 1 : 0) - (lent[1] -> 1 : 0))

inline check() {
  assert(level + successorLevel + spendable(0) + spendable(1) <= CAP)
}

active proctype Clock() {
  do
  :: now < MAXT -> atomic { now++; check() }
  :: now < MAXT -> atomic {
       now++;
       if
       :: slow[0] < SKEW && now > slow[0] -> slow[0]++
       :: slow[1] < SKEW && now > slow[1] -> slow[1]++
       :: else
       fi;
       check()
     }
  :: now == MAXT -> break
  od
}

active proctype Lender() {
  byte b;
  do
  :: atomic { up && now >= quiet && level < room -> level++; check() }
  :: atomic { up && level > 0 -> level--; check() }                          /* spends */
  :: atomic {
       up -> select(b : 0 .. 1);
       if
       :: asked[b] && !lent[b] && level > 0 ->
            level--;
#ifndef KEEP_ROOM
            lent[b] = true;
            lentUntil[b] = now + TERM + MARGIN;
#endif
            granted[b] = true; asked[b] = false
       :: lent[b] && now >= lentUntil[b] -> lent[b] = false; lentUntil[b] = 0
       :: returned[b] && lent[b] -> lent[b] = false; lentUntil[b] = 0; returned[b] = false;
            if :: level < room -> level++ :: else fi
       :: else
       fi;
       check()
     }
  :: atomic {                                                               /* crash and restart */
       up -> level = 0; lent[0] = false; lent[1] = false; lentUntil[0] = 0; lentUntil[1] = 0;
       returned[0] = false; returned[1] = false;
#ifndef NO_QUIET
       quiet = now + TERM + MARGIN;
#endif
       check()
     }
  :: atomic { up && !gone -> up = false; gone = true; goneAt = now; level = 0; check() }
  :: now == MAXT -> break
  od
}

active proctype Successor() {
  do
#ifdef EARLY_RECLAIM
  :: atomic { gone && !successor -> successor = true }
#else
  :: atomic { gone && !successor && now >= goneAt + TERM + MARGIN -> successor = true }
#endif
  :: atomic { successor && successorLevel < CAP -> successorLevel++; check() }
  :: atomic { successor && successorLevel > 0 -> successorLevel--; check() }
  :: now == MAXT -> break
  od
}

active [N] proctype Borrower() {
  byte b = _pid % N;
  do
  :: atomic { !asked[b] && !granted[b] && !holds[b] && !returned[b] -> asked[b] = true; askedAt[b] = clock(b) }
  :: atomic { asked[b] -> asked[b] = false; askedAt[b] = 0 }                /* the ask is lost */
  :: atomic { granted[b] -> granted[b] = false; askedAt[b] = 0 }            /* the answer is lost */
  :: atomic {
       granted[b] -> granted[b] = false;
#ifdef FROM_RECEIPT
       holds[b] = true; holdsUntil[b] = clock(b) + TERM;
#else
       if
       :: clock(b) < askedAt[b] + TERM -> holds[b] = true; holdsUntil[b] = askedAt[b] + TERM
       :: else
       fi;
#endif
       askedAt[b] = 0;
       check()
     }
  :: atomic { holds[b] -> holds[b] = false; holdsUntil[b] = 0 }             /* spent or lapsed */
  :: atomic { holds[b] && clock(b) < holdsUntil[b] -> holds[b] = false; holdsUntil[b] = 0; returned[b] = true; check() }
  :: atomic { returned[b] -> returned[b] = false }                          /* the return is lost */
  :: now == MAXT -> break
  od
}
