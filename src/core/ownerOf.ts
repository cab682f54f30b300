import murmurhash from 'murmurhash';

const seeds = new Map<string, number>();

/**
 * Chooses the owner of a job among entry incarnations by rendezvous hashing:
 * the one with the highest weight for the job. When an entry joins or leaves,
 * only the jobs that it now owns or has owned change owner.
 */
export default function ownerOf(job: string, incarnations: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  incarnations.forEach((incarnation) => {
    const weight = murmurhash.v3(job, seedOf(incarnation));
    const wins = weight > bestWeight || (weight === bestWeight && incarnation < (best ?? ''));
    if (wins) {
      best = incarnation;
      bestWeight = weight;
    }
  });
  return best;
}

function seedOf(incarnation: string): number {
  const known = seeds.get(incarnation);
  if (known !== undefined) return known;
  const seed = murmurhash.v3(incarnation, 0);
  seeds.set(incarnation, seed);
  return seed;
}
