/** An event seen by a caller or a backend server, in order of time; checks of the guarantees use nothing else. */
type SimulationEvent =
  | {
      readonly kind: 'started';
      readonly at: number;
      readonly id: string;
      readonly index: number;
      /** The task's key as sent to the backend server, different for each attempt. */
      readonly task: string;
      readonly on: string;
    }
  | {
      readonly kind: 'called';
      readonly at: number;
      readonly id: string;
      /** Unique number of the call. */
      readonly call: number;
      /** The outputs of a complete answer. */
      readonly expected: readonly string[];
      readonly idempotent: boolean;
    }
  | {
      readonly kind: 'answered';
      readonly at: number;
      readonly id: string;
      readonly call: number;
      /** An outcome of the callers' API; `lost` when the connection ended without an answer. */
      readonly outcome: string;
      readonly outputs: readonly string[];
      readonly retryAfterMs: number;
    };

export type { SimulationEvent as default };
