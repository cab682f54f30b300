import type Scenario from './Scenario';

/** All scenarios by name. */
const scenarios: Readonly<Record<string, Scenario>> = {
  'steady-20': steady(0.2),
  'steady-50': steady(0.5),
  'steady-80': steady(0.8),
  'steady-95': steady(0.95),
  'mixed-80': {
    description: '80% load, half of it in jobs of 1 to 320 tasks',
    addLoad: (workload, fromMs, toMs) => workload.phase({ fromMs, toMs, load: 0.8, jobShare: 0.5 }),
  },
  burst: {
    description: '60% load with 10 s of 150%, a tenth of it in jobs',
    addLoad: (workload, fromMs, toMs) => {
      const burstMs = fromMs + (toMs - fromMs) / 3;
      workload.phase({ fromMs, toMs, load: 0.6, jobShare: 0.1 });
      workload.phase({ fromMs: burstMs, toMs: burstMs + BURST_MS, load: 0.9, jobShare: 0.1 });
    },
  },
  overload: {
    description: '150% load throughout, callers with a deadline of 4 s',
    deadlineMs: 4000,
    addLoad: (workload, fromMs, toMs) => workload.phase({ fromMs, toMs, load: 1.5 }),
  },
  slow: {
    description: '60% load, one backend server takes ten times as long',
    idealSlots: 80,
    addLoad: (workload, fromMs, toMs) => workload.phase({ fromMs, toMs, load: 0.6, jobShare: 0.2 }),
    prepare: (cluster) => cluster.putFaults('backend-1', { slowFactor: 10 }),
  },
  failing: {
    description: '60% load, one backend server fails everything at once',
    idealSlots: 80,
    addLoad: (workload, fromMs, toMs) => workload.phase({ fromMs, toMs, load: 0.6 }),
    injectFault: (cluster) => cluster.putFaults('backend-1', { failAll: true, slowFactor: 0 }),
  },
  cancels: {
    description: '60% load, 20 jobs of 160 tasks cancelled together after a second',
    addLoad: (workload, fromMs, toMs) => {
      workload.phase({ fromMs, toMs, load: 0.6 });
      const atMs = (fromMs + toMs) / 2;
      for (let job = 0; job < 20; job += 1) workload.job({ atMs, tasks: 160, cancelAfterMs: 1000 });
    },
  },
  greedy: {
    description: '60% load of one team, while another offers 60% in jobs of up to 320 tasks',
    addLoad: (workload, fromMs, toMs) => {
      workload.phase({ fromMs, toMs, load: 0.6 });
      workload.phase({ fromMs, toMs, load: 0.6, jobShare: 1, team: 'greedy' });
    },
  },
  restart: {
    description: '60% load, a fifth in jobs, each entry restarted in turn',
    addLoad: (workload, fromMs, toMs) => workload.phase({ fromMs, toMs, load: 0.6, jobShare: 0.2 }),
    injectFault: async (cluster, counts) => {
      for (const name of [...cluster.entryNames]) {
        await counts.recordStopped(name);
        cluster.processes.signal(name, 'SIGTERM');
        await cluster.processes.whenExited(name);
        await cluster.startEntry(name);
      }
    },
  },
  killed: {
    description: '60% load, a fifth in jobs, one entry killed with its jobs',
    addLoad: (workload, fromMs, toMs) => workload.phase({ fromMs, toMs, load: 0.6, jobShare: 0.2 }),
    injectFault: async (cluster, counts) => {
      await counts.recordStopped('entry-1');
      cluster.processes.signal('entry-1', 'SIGKILL');
    },
  },
};

export default scenarios;

const BURST_MS = 10_000;

function steady(load: number): Scenario {
  return {
    description: `${load * 100}% load of single requests`,
    addLoad: (workload, fromMs, toMs) => workload.phase({ fromMs, toMs, load }),
  };
}
