import { err } from 'neverthrow';
import type ProcessStatus from '../operators/ProcessStatus';
import type SystemStatus from '../operators/SystemStatus';
import type Command from './Command';
import fetchStatus from './fetchStatus';
import findTargets from './findTargets';
import formatTable from './formatTable';
import type CommandReport from './CommandReport';
import printResultOf from './printResultOf';
import targetOptions from './targetOptions';

/** Shows the state of all processes of the system. */
const status: Command = {
  args: '',
  description: 'Show every process with its role, zone, versions, queue and state',
  options: [targetOptions.entry, targetOptions.targets],
  run: printResultOf(async (input, context) => {
    const targets = await findTargets(input, context, ['entry']);
    if (targets.isErr()) return err(targets.error);
    return (await fetchStatus(targets.value.entries, context)).map(describe);
  }),
};

export default status;

function describe(system: SystemStatus): CommandReport {
  const { asked, viewNumber, configurationVersion, processes } = system;
  const count = (role: string) => processes.filter((process) => process.role === role).length;
  const versions = new Set(processes.map((process) => process.configurationVersion));
  const where = versions.size > 1 ? ` at ${asked}, not everywhere` : ' everywhere';
  return {
    lines: [
      `${count('entry')} entries, ${count('sidecar')} sidecars; view ${viewNumber}, version ${configurationVersion} in force${where}`,
      '',
      ...formatTable([HEADER, ...processes.map(rowOf)]),
      ...serviceLines(processes),
    ],
    json: system,
  };
}

const HEADER = [
  ...['INSTANCE', 'ROLE', 'ZONE', 'VERSION', 'VIEW', 'JOBS'],
  ...['QUEUE', 'IDLE', 'LINKS', 'SERVICES', 'OPERATORS', 'STATE'],
];

function rowOf(process: ProcessStatus): (string | number)[] {
  const { instance, role, zone, configurationVersion, viewNumber, operators } = process;
  const { jobs, loads, links, services, reachable } = process;
  const isSidecar = role === 'sidecar';
  const isAnsweringEntry = role === 'entry' && reachable;
  return [
    ...[instance, role, zone],
    isSidecar || isAnsweringEntry ? configurationVersion : '-',
    isAnsweringEntry ? viewNumber : '-',
    isAnsweringEntry ? jobs : '-',
    isAnsweringEntry ? sum(loads.map(({ queued }) => queued)) : '-',
    isAnsweringEntry ? sum(loads.map(({ idle }) => idle)) : '-',
    isSidecar ? links : '-',
    isSidecar ? services.join(',') || 'none' : '-',
    operators || '-',
    stateOf(process),
  ];
}

function stateOf({ leaving, reachable }: ProcessStatus): string {
  if (!reachable) return 'does not answer';
  return leaving ? 'leaving' : 'working';
}

function serviceLines(processes: readonly ProcessStatus[]): string[] {
  const loads = processes.flatMap((process) => process.loads);
  const names = [...new Set(loads.map(({ service }) => service))].sort();
  if (names.length === 0) return [];
  const rows = names.map((name) => {
    const serviceLoads = loads.filter(({ service }) => service === name);
    const running = serviceLoads.flatMap(({ teams }) => teams.map((team) => team.running));
    return [
      name,
      sum(serviceLoads.map(({ queued }) => queued)),
      Math.max(...serviceLoads.map(({ oldestWaitMs }) => oldestWaitMs)),
      sum(running),
      sum(serviceLoads.map(({ idle }) => idle)),
    ];
  });
  const head = ['SERVICE', 'QUEUE', 'OLDEST MS', 'RUNNING', 'IDLE'];
  return ['', ...formatTable([head, ...rows])];
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, each) => total + each, 0);
}
