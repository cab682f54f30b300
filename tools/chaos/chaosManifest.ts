/** The manifest of a chaos run, with one service that all callers use. */
const chaosManifest = {
  services: [
    {
      name: 'booking',
      maxTasks: 320,
      timeoutMs: 10_000,
      jobTimeoutMs: 60_000,
      retentionMs: 600_000,
      retryBudget: 0.1,
      idempotent: false,
      queue: { maxTasks: 50_000 },
    },
  ],
  system: { defaultTeam: 'default' },
};

export default chaosManifest;
