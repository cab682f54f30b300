/** A manifest with one service and a number of teams. */
export default function manifestOf(teams: number): object {
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
    teams: Array.from({ length: teams }, (_, at) => ({
      name: `team-${at + 1}`,
      share: 1 + (at % 3),
      maxRunning: 2000 + at,
    })),
    system: { defaultTeam: 'team-1' },
  };
}
