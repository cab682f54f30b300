import type ExitCode from '../core/ExitCode';
import exitCodes from '../core/exitCodes';
import Random from '../core/Random';
import SystemTimer from '../core/SystemTimer';
import Entry from '../entry/Entry';
import exposeEntry from '../entry/exposeEntry';
import ConnectNetwork from '../link/ConnectNetwork';
import createLogger from '../observe/createLogger';
import EntryMetrics from '../observe/EntryMetrics';
import MeteredNetwork from '../observe/MeteredNetwork';
import MeteredStore from '../observe/MeteredStore';
import Metrics from '../observe/Metrics';
import Traces from '../observe/Traces';
import type EntrySettings from '../settings/EntrySettings';
import HttpStore from '../store/HttpStore';
import newIncarnation from './newIncarnation';
import randomSeed from './randomSeed';

/** Runs this process as an entry. */
export default async function runEntry(
  settings: EntrySettings,
  signal: AbortSignal,
): Promise<ExitCode> {
  const log = createLogger(settings.log.level);
  const timer = SystemTimer.create();
  const metrics = Metrics.create(timer, 'entry');
  const random = Random.fromSeed(randomSeed());
  const incarnation = newIncarnation(settings.instance);
  const traces = Traces.create({ timer, random, metrics, incarnation, settings });
  const store = HttpStore.create({
    timer,
    url: `http://${settings.store.address}`,
    client: settings.instance,
    callsPerSecond: settings.store.callsPerSecond,
    timeoutMs: settings.store.timeoutMs,
  });
  const entry = Entry.create({
    settings,
    timer,
    log,
    incarnation,
    random,
    tracer: traces?.tracer,
    metrics: EntryMetrics.of(metrics),
    network: MeteredNetwork.over(ConnectNetwork.create(timer), metrics),
    store: MeteredStore.over(store, metrics),
  });
  exposeEntry(entry, metrics);
  const listening = await entry.listen();
  if (listening.isErr()) {
    log.error(`cannot listen: ${listening.error}`);
    return exitCodes.cannotListen;
  }
  const { callers, peers } = listening.value;
  log.info(`entry ${settings.instance} listens for callers on ${callers}, for peers on ${peers}`);
  const ended = await entry.run(signal);
  await traces?.close();
  log.info(`entry ${settings.instance} has ${ended === 'removed' ? 'been removed' : 'stopped'}`);
  return ended === 'removed' ? exitCodes.removed : exitCodes.ok;
}
