/** The workload of one user's callers. */
interface WorkloadSpec {
  /** Mean cores that a task asks for, in thousandths. */
  readonly taskMilli: number;
  /** Unit of backend server size, thousandths of a core: smaller ones have two units, larger ones three. */
  readonly unitMilli: number;
  readonly kinds: readonly {
    readonly name: string;
    readonly priority: number;
    readonly maxAttempts: number;
    readonly worth: number;
    readonly lateWorth: number;
    readonly perSecond: number;
    readonly width: number;
    readonly meanMs: number;
    readonly specBytes?: number;
  }[];
}

/** Workloads from the users' documentation. */
const workloads: Readonly<Record<'bookings' | 'ledgers', WorkloadSpec>> = {
  /** Large tasks without a spec. */
  bookings: {
    taskMilli: 3_100,
    unitMilli: 16_000,
    kinds: [
      {
        ...{ name: 'search', priority: 0, maxAttempts: 2, worth: 0.0291, lateWorth: 0.00582 },
        ...{ perSecond: 24.1, width: 8, meanMs: 85.7 },
      },
      {
        ...{ name: 'intake', priority: 2, maxAttempts: 2, worth: 0.16, lateWorth: 0.032 },
        ...{ perSecond: 4.37, width: 4, meanMs: 1_286 },
      },
      {
        ...{ name: 'reminder', priority: 1, maxAttempts: 3, worth: 0.01, lateWorth: 0.002 },
        ...{ perSecond: 70, width: 2, meanMs: 286 },
      },
    ],
  },
  /** Small tasks, each sent with a spec. */
  ledgers: {
    taskMilli: 1_500,
    unitMilli: 8_000,
    kinds: [
      {
        ...{ name: 'scan', priority: 0, maxAttempts: 3, worth: 0.00485, lateWorth: 0.00097 },
        ...{ perSecond: 29, width: 8, meanMs: 72.9, specBytes: 500 },
      },
      {
        ...{ name: 'estimate', priority: 2, maxAttempts: 4, worth: 0.0267, lateWorth: 0.00533 },
        ...{ perSecond: 5.3, width: 4, meanMs: 1_086, specBytes: 500 },
      },
      {
        ...{ name: 'balance', priority: 1, maxAttempts: 4, worth: 0.00167, lateWorth: 0.000333 },
        ...{ perSecond: 84, width: 2, meanMs: 243, specBytes: 1_200 },
      },
    ],
  },
};

export default workloads;
