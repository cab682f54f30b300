import type Manifest from '../settings/Manifest';
import completed from './completed';
import type RetiredParts from './RetiredParts';
import type StoredManifest from './StoredManifest';

/**
 * What a new manifest leaves out of the one in force, and what earlier ones
 * left out, as long as a job of that time can still be asked for.
 */
export default function retireParts(
  stored: StoredManifest | undefined,
  next: object,
  nowMs: number,
): RetiredParts | undefined {
  if (!stored) return undefined;
  const { services = [], teams = [] } = completed(stored) as Partial<Manifest>;
  const wanted = next as Partial<Manifest>;
  const keepMs = Math.max(0, ...services.map(({ retentionMs }) => retentionMs)) + MARGIN_MS;
  const until = nowMs + keepMs;
  const retired = {
    services: retire(stored.retired?.services ?? [], services, wanted.services ?? [], nowMs, until),
    teams: retire(stored.retired?.teams ?? [], teams, wanted.teams ?? [], nowMs, until),
  };
  return retired.services.length + retired.teams.length > 0 ? retired : undefined;
}

/** For clocks that differ. */
const MARGIN_MS = 120_000;

function retire<Part extends { readonly name: string }>(
  earlier: readonly (Part & { readonly until: number })[],
  before: readonly Part[],
  after: readonly Part[],
  nowMs: number,
  until: number,
): (Part & { readonly until: number })[] {
  const isGone = ({ name }: Part) => after.every((part) => part.name !== name);
  const removed = before.filter(isGone).map((part) => ({ ...part, until }));
  const isDue = (part: Part & { readonly until: number }) => part.until > nowMs && isGone(part);
  const isNew = ({ name }: Part) => removed.every((part) => part.name !== name);
  return [...earlier.filter((part) => isDue(part) && isNew(part)), ...removed];
}
