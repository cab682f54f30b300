/** The manifest for measurements: one service, and two teams with equal shares. */
const measuredManifest = {
  services: [
    {
      name: 'booking',
      maxTasks: 320,
      timeoutMs: 70_000,
      jobTimeoutMs: 120_000,
      retentionMs: 600_000,
      queue: { maxTasks: 100_000 },
    },
  ],
  teams: [
    { name: 'members', share: 1 },
    { name: 'greedy', share: 1 },
  ],
  system: { defaultTeam: 'members' },
};

export default measuredManifest;
