import type RunResult from './RunResult';

/** A run's results as plain data for JSON output. */
export default function resultJson(result: RunResult): object {
  const { stretches, ideal, ...rest } = result;
  const kinds = ['request', 'job'] as const;
  const summarize = (from: typeof ideal) =>
    Object.fromEntries(kinds.map((kind) => [kind, from.summary(kind)]));
  return { ...rest, stretch: summarize(stretches), ideal: summarize(ideal) };
}
