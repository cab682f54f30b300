import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** A seeded source of random numbers, so that a simulation can be reproduced. */
export default class Random {
  private constructor(private readonly generator: RandomGenerator) {}

  /** Creates a source whose numbers depend on the seed alone. */
  static fromSeed(seed: number): Random {
    return new Random(xoroshiro128plus(seed));
  }

  /** A number from 0 up to, but not including, 1. */
  unit(): number {
    return uniformFloat64(this.generator);
  }

  /** A whole number from 0 up to, but not including, the limit. */
  below(limit: number): number {
    return uniformInt(this.generator, 0, limit - 1);
  }

  /** A number distributed evenly from half to one and a half times the middle. */
  jitter(middle: number): number {
    return middle * (0.5 + this.unit());
  }
}
