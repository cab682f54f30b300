import pause from '../measureCapacity/pause';
import type Bench from './Bench';

/** Phases of the measurement in order, each with what happens while changes are applied. */
const phases: Readonly<Record<string, (bench: Bench, phase: string) => Promise<void>>> = {
  'one by one': async (bench, phase) => {
    for (let at = 0; at < 5; at += 1) {
      await bench.apply(phase, 1);
      await pause(0.5);
    }
  },
  'burst of 20': (bench, phase) => bench.apply(phase, 20),
  'two operators racing': async (bench, phase) => {
    await Promise.all([bench.apply(phase, 10, 0), bench.apply(phase, 10, 1)]);
  },
  'an entry cut from the store': async (bench, phase) => {
    const client = bench.cluster.entryNames[0]!;
    await bench.setFaults({ client, down: true });
    for (let at = 0; at < 3; at += 1) {
      await pause(1);
      await bench.apply(phase, 1);
    }
    await bench.setFaults({ client, down: false });
  },
  'store down for 12 s': async (bench, phase) => {
    await bench.setFaults({ down: true });
    const applying = bench.apply(phase, 1);
    await pause(12);
    await bench.setFaults({ down: false });
    await applying;
  },
  'processes killed and started': async (bench, phase) => {
    const { cluster, log } = bench;
    const names = [cluster.entryNames.at(-1)!, ...bench.sidecars.slice(0, 2)];
    for (const name of names) {
      log.recordAbsence(name);
      cluster.processes.signal(name, 'SIGKILL');
      await cluster.processes.whenExited(name);
      await bench.apply(phase, 2);
      log.recordReturn(name);
      const isEntry = cluster.entryNames.includes(name);
      await (isEntry ? cluster.startEntry(name) : cluster.startSidecar(name));
      await bench.apply(phase, 1);
    }
  },
  'processes paused for 2 s': async (bench, phase) => {
    const { cluster, log } = bench;
    const names = [cluster.entryNames[1]!, ...bench.sidecars.slice(2, 4)];
    names.forEach((name) => {
      log.recordAbsence(name);
      cluster.processes.signal(name, 'SIGSTOP');
    });
    await bench.apply(phase, 3);
    await pause(2);
    names.forEach((name) => {
      log.recordReturn(name);
      cluster.processes.signal(name, 'SIGCONT');
    });
  },
};

export default phases;
