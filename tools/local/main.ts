import demoManifest from '../demo/demoManifest';
import Cluster from '../harness/Cluster';

// Runs a whole system on this machine until Ctrl-C, for manual experiments.
const cluster = await Cluster.start(
  { entries: 3, backends: 4, slots: 8, connections: 64, zones: 3 },
  demoManifest,
);
const interrupted = new Promise<void>((resolve) => {
  process.once('SIGINT', resolve);
  process.once('SIGTERM', resolve);
});
await Promise.all(
  cluster.entryNames.map((entry) => cluster.processes.waitFor(entry, /view \d+: \S+, \S+, \S+"/)),
);
print(`store      http://${cluster.platform}`);
cluster.entryNames.sort().forEach((entry) => {
  print(`${entry}    callers ${cluster.callersUrl(entry)}  operators ${operatorsOf(entry)}`);
});
cluster.backendNames.sort().forEach((backend) => {
  const sidecar = backend.replace('backend', 'sidecar');
  print(`${sidecar}  operators ${operatorsOf(sidecar)}`);
});
print('');
print(`A first job:\n${firstJob()}`);
print('');
print('Running. Ctrl-C stops all of it.');
await interrupted;
await cluster.stop();
process.exit(0);

function operatorsOf(name: string): string {
  return `http://${cluster.operatorsAddress(name)}`;
}

function firstJob(): string {
  const url = `${cluster.callersUrl('entry-1')}/v1/services/booking/jobs/my-job?wait=5000`;
  return [
    `curl -X PUT '${url}' \\`,
    `  -H "Magnoliakeel-Created: $(date +%s%3N)" \\`,
    `  -d '{"tasks": [{"input": {"ms": 50, "output": "a"}}, {"input": {"ms": 80, "output": "b"}}]}'`,
  ].join('\n');
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
