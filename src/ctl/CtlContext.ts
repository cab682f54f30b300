import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Store from '../store/Store';
import type OperatorClient from './OperatorClient';

/** External dependencies of the commands: clock, randomness, environment, store and HTTP. */
export default interface CtlContext {
  readonly timer: TimerService;
  readonly random: Random;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Opens a client of the platform's key-value service at an address, "ip:port". */
  readonly openStore: (address: string) => Store;
  readonly operators: OperatorClient;
  /** Returns a new unique id, used to identify an apply. */
  readonly newId: () => string;
}
