import type Manifest from '../settings/Manifest';
import withDefaults from './withDefaults';
import type RetiredParts from './RetiredParts';
import type StoredManifest from './StoredManifest';

/**
 * Returns the parts of the stored manifest that the next one removes, and those removed
 * earlier, for as long as a job from before their removal can still be requested.
 */
export default function retireParts(
  stored: StoredManifest | undefined,
  next: object,
  nowMs: number,
): RetiredParts | undefined {
  if (!stored) return undefined;
  const { services = [], teams = [] } = withDefaults(stored) as Partial<Manifest>;
  const nextParts = next as Partial<Manifest>;
  const retainMs =
    Math.max(0, ...services.map(({ retentionMs }) => retentionMs)) + CLOCK_SKEW_MARGIN_MS;
  const until = nowMs + retainMs;
  const retired = {
    services: retire(
      stored.retired?.services ?? [],
      services,
      nextParts.services ?? [],
      nowMs,
      until,
    ),
    teams: retire(stored.retired?.teams ?? [], teams, nextParts.teams ?? [], nowMs, until),
  };
  return retired.services.length + retired.teams.length > 0 ? retired : undefined;
}

/** Allows for differences between the clocks of machines. */
const CLOCK_SKEW_MARGIN_MS = 120_000;

function retire<Part extends { readonly name: string }>(
  earlier: readonly (Part & { readonly until: number })[],
  before: readonly Part[],
  after: readonly Part[],
  nowMs: number,
  until: number,
): (Part & { readonly until: number })[] {
  const isGone = ({ name }: Part) => after.every((part) => part.name !== name);
  const removed = before.filter(isGone).map((part) => ({ ...part, until }));
  const isRetained = (part: Part & { readonly until: number }) =>
    part.until > nowMs && isGone(part);
  const isNotJustRemoved = ({ name }: Part) => removed.every((part) => part.name !== name);
  return [...earlier.filter((part) => isRetained(part) && isNotJustRemoved(part)), ...removed];
}
