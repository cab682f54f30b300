/** What callers and backend servers saw, in the order of time; all that a check of promises may use. */
type SimulationEvent =
  | {
      readonly kind: 'started';
      readonly at: number;
      readonly id: string;
      readonly index: number;
      /** As the backend server was told: a name for each attempt. */
      readonly task: string;
      readonly on: string;
    }
  | {
      readonly kind: 'asked';
      readonly at: number;
      readonly id: string;
      /** Tells the asks of all callers apart. */
      readonly ask: number;
      /** Outputs of a complete answer. */
      readonly expected: readonly string[];
      readonly idempotent: boolean;
    }
  | {
      readonly kind: 'answered';
      readonly at: number;
      readonly id: string;
      readonly ask: number;
      /** An outcome of the callers' interface; `lost` when the connection ended without an answer. */
      readonly outcome: string;
      readonly outputs: readonly string[];
      readonly retryAfterMs: number;
    };

export type { SimulationEvent as default };
