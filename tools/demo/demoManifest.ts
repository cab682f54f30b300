/** The manifest of the demo, with one service and two teams. */
const demoManifest = {
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
  teams: [
    { name: 'agencies', share: 2 },
    { name: 'members', share: 1 },
  ],
  system: { defaultTeam: 'default' },
};

export default demoManifest;
