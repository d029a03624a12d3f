/* One request of a caller and the upstreams that it is offered to: package attempt and its use in gateway.
 *
 * A VM offers the request to one upstream after another, each time on a connection that may hold a late answer
 * to another request. What it sent may arrive at any time, also after it gave up, or never; at the address another
 * upstream may answer by then. An upstream runs the request, refuses it with the mark that it has not run, or fails it
 * after running with a status that looks like a refusal. Answers may be lost. The VM may be frozen at any step, since
 * the interleaving is arbitrary.
 *
 * Properties: a request that may run at most once runs at most once; one that may run again runs on MAXRUNS upstreams
 * at most; one that is told as not run never runs; a success is the answer of an upstream that ran the request; no
 * upstream runs what was meant for another.
 *
 * Broken variants: DOUBT_UNSENT, ANY_REFUSAL, STRAY_TAKEN, NO_TARGET, REPEAT_ALL, RUNS_UNCOUNTED.
 */
#define MAXOFFERS 3
#define MAXRUNS 2

#define NONE 0
#define FLYING 1          /* sent, and not at an upstream yet */
#define RUNNING 2
#define OVER 3

#define REFUSED 1         /* with the mark that it has not run */
#define UNMARKED 2        /* a failure that looks like a refusal, after a run */
#define ANSWERED 3

#define NOTRUN 1
#define FAILED 2
#define SUCCESS 3

bool repeatable;          /* the route allows the request to run again */
byte wire[MAXOFFERS];
byte answer[MAXOFFERS];
bool stray[MAXOFFERS];    /* a late answer to another request waits on the connection */
bool moved[MAXOFFERS];    /* another upstream answers at the address */
byte ran = 0;
byte told = 0;
bool success[MAXOFFERS];  /* this upstream ran the request to its good end */

inline check() {
  assert(repeatable || ran <= 1);
  assert(ran <= MAXRUNS);
  assert(!(told == NOTRUN && ran > 0))
}

active proctype Upstreams() {
  byte n;
  do
  :: atomic {
       select(n : 0 .. MAXOFFERS - 1);
       if
       :: wire[n] == FLYING ->
            if
            :: wire[n] = OVER                                  /* lost on the way */
            :: wire[n] = OVER; answer[n] = REFUSED
            :: moved[n] ->
#ifdef NO_TARGET
                 assert(false)                                 /* it runs what was meant for another */
#else
                 wire[n] = OVER; answer[n] = REFUSED
#endif
            :: !moved[n] -> wire[n] = RUNNING; ran++; check()
            fi
       :: wire[n] == RUNNING ->
            wire[n] = OVER;
            if
            :: answer[n] = ANSWERED; success[n] = true
            :: answer[n] = UNMARKED
            :: skip                                            /* the answer is lost */
            fi
       :: wire[n] == NONE && !stray[n] -> stray[n] = true
       :: wire[n] != RUNNING && !moved[n] -> moved[n] = true
       :: else
       fi
     }
  od
}

active proctype VM() {
  byte n = 0;
  byte runs = 0;
  byte seen;
  if :: repeatable = true :: repeatable = false fi;
  do
  :: n < MAXOFFERS ->
       seen = NONE;
       if
       :: seen = NOTRUN                                        /* nothing could be sent */
       :: atomic { wire[n] = FLYING };
          if
          :: atomic { answer[n] == REFUSED -> seen = NOTRUN }
#ifdef ANY_REFUSAL
          :: atomic { answer[n] == UNMARKED -> seen = NOTRUN }
#else
          :: atomic { answer[n] == UNMARKED -> seen = FAILED }
#endif
          :: atomic { answer[n] == ANSWERED -> seen = SUCCESS }
#ifdef STRAY_TAKEN
          :: atomic { stray[n] -> seen = SUCCESS }
#endif
#ifdef DOUBT_UNSENT
          :: seen = NOTRUN                                     /* a reset or no answer in time */
#else
          :: seen = FAILED                                     /* a reset or no answer in time */
#endif
          fi
       fi;
       if
       :: seen == SUCCESS -> assert(success[n]); told = SUCCESS; break
       :: seen == FAILED ->
#ifndef RUNS_UNCOUNTED
            runs++;
#endif
            if
#ifdef REPEAT_ALL
            :: runs < MAXRUNS -> n++
#else
            :: repeatable && runs < MAXRUNS -> n++
#endif
            :: told = FAILED; break                            /* also where the retry budget is used up */
            fi
       :: seen == NOTRUN -> n++
       fi
  :: n == MAXOFFERS -> break
  :: n < MAXOFFERS && n > 0 -> break                           /* no upstream is left, or the retry budget is used up */
  od;
  atomic {
    if
    :: told == 0 && runs == 0 -> told = NOTRUN
    :: told == 0 && runs > 0 -> told = FAILED
    :: else
    fi;
    check()
  }
}
