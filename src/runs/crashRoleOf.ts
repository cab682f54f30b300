import { CrashRole } from '../gen/magnoliakeel/v1/peer_pb';
import type RunState from './RunState';

/**
 * Which of the runs at a crashed backend server may have caused the crash. This is about tasks that crash every
 * backend server that starts them: such a task was suspected before, while what happened to run beside it was
 * not, or less often. Suspects are kept apart, so after two crashes the cause is known and no other task is
 * blamed. If a backend server crashes repeatedly, it is presumed to be the cause itself. Runs that were
 * requested after the crash and never started there have no role in it.
 */
export default function crashRoleOf(
  runs: Iterable<RunState>,
  isRepeated: boolean,
): (run: RunState) => CrashRole {
  const started = [...runs].filter(({ mayHaveStarted }) => mayHaveStarted);
  const suspicions = started.map(({ request }) => request.suspicion);
  const most = Math.max(0, ...suspicions);
  return ({ request, mayHaveStarted }) => {
    if (!mayHaveStarted) return CrashRole.UNSPECIFIED;
    return isRepeated || request.suspicion < most ? CrashRole.BESIDE : CrashRole.SUSPECT;
  };
}
