/**
 * An amount of a worker's resources: what a task needs, what a backend server has, what is left of it. Values
 * are whole numbers and immutable; sums and differences are new objects.
 */
export default class Resources {
  /** Nothing at all. */
  static readonly none = new Resources(0, 0, 0);

  private constructor(
    /** Thousandths of a core. */
    readonly cpuMilli: number,
    /** Megabytes. */
    readonly memoryMb: number,
    readonly accelerators: number,
  ) {}

  /** Creates an amount; omitted values are 0. */
  static of(amount: Partial<Pick<Resources, 'cpuMilli' | 'memoryMb' | 'accelerators'>>): Resources {
    const { cpuMilli = 0, memoryMb = 0, accelerators = 0 } = amount;
    return new Resources(cpuMilli, memoryMb, accelerators);
  }

  /** The sum of both. */
  plus(other: Resources): Resources {
    return new Resources(
      this.cpuMilli + other.cpuMilli,
      this.memoryMb + other.memoryMb,
      this.accelerators + other.accelerators,
    );
  }

  /** The difference, at least 0 of each kind. */
  minus(other: Resources): Resources {
    return new Resources(
      Math.max(0, this.cpuMilli - other.cpuMilli),
      Math.max(0, this.memoryMb - other.memoryMb),
      Math.max(0, this.accelerators - other.accelerators),
    );
  }

  /** Whether both are equal in every kind. */
  equals(other: Resources): boolean {
    return this.covers(other) && other.covers(this);
  }

  /** Whether this amount is at least the other, in every kind. */
  covers(other: Resources): boolean {
    return (
      this.cpuMilli >= other.cpuMilli &&
      this.memoryMb >= other.memoryMb &&
      this.accelerators >= other.accelerators
    );
  }
}
