import type RunResult from './RunResult';

/** A run's figures as plain data. */
export default function resultJson(result: RunResult): object {
  const { stretches, ideal, ...rest } = result;
  const kinds = ['request', 'job'] as const;
  const of = (from: typeof ideal) =>
    Object.fromEntries(kinds.map((kind) => [kind, from.summary(kind)]));
  return { ...rest, stretch: of(stretches), ideal: of(ideal) };
}
