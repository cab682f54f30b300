import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Store from '../store/Store';
import type OperatorClient from './OperatorClient';

/** What commands reach the outside with. */
export default interface CtlContext {
  readonly timer: TimerService;
  readonly random: Random;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** The platform's key-value service at an address, "ip:port". */
  readonly openStore: (address: string) => Store;
  readonly operators: OperatorClient;
  /** A name for one apply that no other has. */
  readonly newId: () => string;
}
