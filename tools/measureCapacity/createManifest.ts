/** A manifest with one service and the given number of teams. */
export default function createManifest(teams: number): object {
  return {
    services: [
      {
        name: 'booking',
        maxTasks: 320,
        maxTaskBytes: 65536,
        maxOutputBytes: 1048576,
        timeoutMs: 10000,
        jobTimeoutMs: 60000,
        retentionMs: 600000,
        retryBudget: 0.1,
        idempotent: false,
        queue: { maxTasks: 100000 },
      },
    ],
    teams: Array.from({ length: teams }, (_, index) => ({
      name: `team-${index + 1}`,
      share: 1 + (index % 3),
      maxRunning: 2000 + index,
    })),
    system: { defaultTeam: 'team-1' },
  };
}
