import type AppliedChange from './AppliedChange';
import type ConfigurationLog from './ConfigurationLog';
import type PhaseResult from './PhaseResult';

/** Summarizes the delays of a phase's changes over all processes. */
export default function summarizePhase(
  phase: string,
  applied: readonly AppliedChange[],
  log: ConfigurationLog,
): PhaseResult {
  const changes = applied.filter((each) => each.phase === phase);
  const delays = changes.flatMap(({ version, startedAt }) =>
    log.names.map((name) => log.delayOf(name, version, startedAt)),
  );
  const known = delays.filter((delay) => delay !== undefined).sort((a, b) => a - b);
  const percentile = (share: number) =>
    known[Math.min(known.length - 1, Math.floor(known.length * share))];
  return {
    phase,
    changes: changes.length,
    p50: percentile(0.5) ?? 0,
    p99: percentile(0.99) ?? 0,
    max: known.at(-1) ?? 0,
    missing: delays.length - known.length,
  };
}
