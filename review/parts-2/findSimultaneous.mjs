/** The pairs of runs of one task that worked at the same time, as texts. */
export default function findSimultaneous(runners, nowMs) {
  const runs = runners.flatMap((runner) => runner.runs);
  return runs.flatMap((run, at) =>
    runs.slice(at + 1).flatMap((other) => {
      const sharedFrom = Math.max(run.startedAt, other.startedAt);
      const sharedUntil = Math.min(run.endedAt ?? nowMs, other.endedAt ?? nowMs);
      if (run.task !== other.task || sharedUntil <= sharedFrom) return [];
      const names = [run, other].map(({ runner, attempt }) => `${runner} attempt ${attempt}`);
      return [`${run.task} on ${names.join(' and ')} from ${sharedFrom} to ${sharedUntil} ms`];
    }),
  );
}
