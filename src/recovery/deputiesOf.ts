import ownerOf from '../core/ownerOf';

/**
 * The entries that keep a copy of a job's cancellation beside the job's owner: those with the next highest weights by
 * rendezvous hashing.
 */
export default function deputiesOf(job: string, incarnations: readonly string[]): string[] {
  const ranked: string[] = [];
  while (ranked.length <= DEPUTY_COUNT) {
    const next = ownerOf(
      job,
      incarnations.filter((incarnation) => !ranked.includes(incarnation)),
    );
    if (next === undefined) break;
    ranked.push(next);
  }
  return ranked.slice(1);
}

const DEPUTY_COUNT = 2;
