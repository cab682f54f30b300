import fitLine from './fitLine';
import spreadOf from './spreadOf';
import type Spread from './Spread';

/** A quantity measured at several sizes in repeated rounds; its slope is the cost per unit for capacity planning. */
export default class Series {
  private readonly rounds = new Map<number, [size: number, value: number][]>();

  private constructor(
    readonly name: string,
    readonly unit: string,
    /** The unit of the sizes, such as "sidecar link"; empty for a quantity without sizes. */
    readonly per: string,
  ) {}

  /** Creates a series of a quantity measured at several sizes. */
  static over(per: string, name: string, unit: string): Series {
    return new Series(name, unit, per);
  }

  /** Creates a series of a quantity that does not depend on a size. */
  static of(name: string, unit: string): Series {
    return new Series(name, unit, '');
  }

  /** Adds a value that a round measured at a size. */
  add(round: number, value: number, size = 0): void {
    this.rounds.set(round, [...(this.rounds.get(round) ?? []), [size, value]]);
  }

  /** Growth per unit of size, over the rounds. Undefined for a quantity without sizes. */
  slope(): Spread | undefined {
    if (this.per === '') return undefined;
    return spreadOf([...this.rounds.values()].map((points) => fitLine(points).slope));
  }

  /** The values at each size, over the rounds. */
  points(): [size: number, values: Spread][] {
    const all = [...this.rounds.values()].flat();
    const sizes = [...new Set(all.map(([size]) => size))].sort((a, b) => a - b);
    return sizes.map((size) => {
      const values = all.filter(([each]) => each === size).map(([, value]) => value);
      return [size, spreadOf(values)];
    });
  }

  /** The series as plain data, for JSON output. */
  toJSON(): object {
    const { name, unit, per } = this;
    const points = this.points().map(([size, values]) => ({ size, ...values }));
    return { name, unit, per, rounds: this.rounds.size, slope: this.slope(), points };
  }
}
