/* Records of operations that must not run twice: packages catalog (fold) and caller (flow).
 *
 * Two VMs serve calls of one operation. A VM appends a Begin and may forward only after it has read its
 * own record back as the winner, and only within its window. An append may take effect at once, late, or
 * never, and its answer may be lost. A settler may record NotRun only when no window is open, no call is
 * on the wire and the service says that nothing ran.
 *
 * Properties: the operation runs at most once, and an attempt of which a caller was told "not run" never
 * runs.
 *
 * Broken variants: ON_APPEND, NO_WINDOW, EARLY_SETTLE, ANY_BEGIN.
 */
#define N 2
#define MAXLOG 7
#define MAXATTEMPT 2

#define BEGIN 1
#define DONE 2
#define NOTRUN 3

byte log_kind[MAXLOG];
byte log_vm[MAXLOG];
byte log_attempt[MAXLOG];
byte head = 0;

/* The fold is the same for every reader, so it is kept once, at the head; VMs read it when they like. */
byte phase = 0;          /* 0 unknown, or BEGIN, DONE, NOTRUN */
byte attempt = 0;
byte winner = 0;         /* VM + 1 of the Begin in force */

bool window[N];          /* the VM may still forward what it began */
byte pending[N];         /* attempt whose append is still on its way, or 0 */
bool wire = false;       /* a call is on its way to the service */
byte wireAttempt = 0;
byte runs = 0;
byte ran[MAXATTEMPT + 1];
bool toldNotRun[MAXATTEMPT + 1];

inline fold(kind, vm, att) {
  if
  :: kind == BEGIN ->
       if
#ifdef ANY_BEGIN
       :: true
#else
       :: (phase == 0 && att == 1) || (phase == NOTRUN && att == attempt + 1)
#endif
            -> phase = BEGIN; attempt = att; winner = vm + 1
       :: else
       fi
  :: else ->
       if
       :: phase == BEGIN && attempt == att -> phase = kind
       :: else
       fi
  fi
}

inline append(kind, vm, att) {
  if
  :: head < MAXLOG ->
       log_kind[head] = kind; log_vm[head] = vm; log_attempt[head] = att; head++;
       fold(kind, vm, att)
  :: else
  fi
}

active [N] proctype VM() {
  byte me = _pid;
  byte mine;
  byte calls = 0;
  do
  :: calls < 2 ->
       calls++;
       atomic {                                  /* a call comes; the VM looks at the state */
         mine = 0;
         if
         :: phase == 0 -> mine = 1
         :: phase == NOTRUN && attempt < MAXATTEMPT -> mine = attempt + 1
         :: else
         fi;
         if
         :: mine > 0 -> window[me] = true; pending[me] = mine
         :: else
         fi
       }
       if
       :: mine == 0 -> goto next
       :: else
       fi;
#ifdef ON_APPEND
       goto forward;
#endif
       if
       :: atomic { pending[me] == 0 && winner == me + 1 && attempt == mine && phase == BEGIN -> skip }
       :: atomic { pending[me] == 0 && !(winner == me + 1 && attempt == mine && phase == BEGIN) ->
            window[me] = false }
          goto next                              /* another VM won */
       :: atomic { window[me] = false;           /* gives up; the record may still come */
            toldNotRun[mine] = toldNotRun[mine] || (winner == me + 1 && attempt == mine) }
          goto abandon
       fi;
forward:
       atomic {                                  /* checks its window and sends */
         if
#ifdef NO_WINDOW
         :: true -> wire = true; wireAttempt = mine
#else
         :: window[me] -> wire = true; wireAttempt = mine
         :: !window[me] -> toldNotRun[mine] = true; append(NOTRUN, me, mine); goto next
#endif
         fi;
         window[me] = false
       }
       if
       :: atomic { runs > 0 && ran[mine] > 0 -> append(DONE, me, mine) }
       :: true                                   /* dies or hears nothing: in doubt */
       fi;
       goto next;
abandon:
       if
       :: atomic { pending[me] == 0 && winner == me + 1 && attempt == mine -> append(NOTRUN, me, mine) }
       :: true
       fi;
next:
       skip
  :: break
  od
}

/* Appends take effect at some time or never. */
active proctype Log() {
  do
  :: atomic { pending[0] > 0 -> append(BEGIN, 0, pending[0]); pending[0] = 0 }
  :: atomic { pending[1] > 0 -> append(BEGIN, 1, pending[1]); pending[1] = 0 }
  :: atomic { pending[0] > 0 && !window[0] -> pending[0] = 0 }
  :: atomic { pending[1] > 0 && !window[1] -> pending[1] = 0 }
  :: timeout -> break
  od
}

active proctype Service() {
end:
  do
  :: atomic { wire -> wire = false; runs++; ran[wireAttempt]++;
       assert(runs <= 1); assert(!toldNotRun[wireAttempt]) }
  :: atomic { wire -> wire = false }             /* the call is lost */
  od
}

/* Time passes: windows close, whether their VMs notice or are frozen. */
active proctype Clock() {
end:
  do
  :: window[0] -> window[0] = false
  :: window[1] -> window[1] = false
  od
}

active proctype Settler() {
  byte n = 0;
  do
  :: n < 2 -> atomic {
       n++;
       if
#ifdef EARLY_SETTLE
       :: phase == BEGIN && runs == 0 -> append(NOTRUN, N, attempt)
#else
       :: phase == BEGIN && runs == 0 && !window[0] && !window[1] && !wire -> append(NOTRUN, N, attempt)
#endif
       :: phase == BEGIN && runs > 0 -> append(DONE, N, attempt)
       :: else
       fi
     }
  :: break
  od
}
