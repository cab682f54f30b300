/** The starts that brought a runner over its capacity, as texts; `cpuOf` gives what a task needs. */
export default function findOverloads(runners, capacity, cpuOf) {
  return runners.flatMap((runner) =>
    runner.runs.flatMap((run, at) => {
      const beside = runner.runs
        .slice(0, at)
        .filter(
          ({ runner: id, endedAt = Infinity }) => id === run.runner && endedAt > run.startedAt,
        );
      const used = [...beside, run].reduce((sum, { task }) => sum + cpuOf(task), 0);
      if (used <= capacity) return [];
      return [`${run.task} brings ${run.runner} to ${used} of ${capacity} at ${run.startedAt} ms`];
    }),
  );
}
