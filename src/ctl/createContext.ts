import { randomInt, randomUUID } from 'node:crypto';
import Random from '../core/Random';
import SystemTimer from '../core/SystemTimer';
import HttpStore from '../store/HttpStore';
import type CtlContext from './CtlContext';
import HttpOperatorClient from './HttpOperatorClient';

/** Creates the context of commands that are run from a shell. */
export default function createContext(): CtlContext {
  const timer = SystemTimer.create();
  return {
    timer,
    random: Random.fromSeed(randomInt(SEED_LIMIT)),
    environment: process.env,
    openStore: (address) =>
      HttpStore.create({
        timer,
        url: `http://${address}`,
        client: 'magnoliakeelctl',
        callsPerSecond: CALLS_PER_SECOND,
        timeoutMs: STORE_TIMEOUT_MS,
      }),
    operators: HttpOperatorClient.create(timer),
    newId: randomUUID,
  };
}

const SEED_LIMIT = 2 ** 31;
const CALLS_PER_SECOND = 20;
const STORE_TIMEOUT_MS = 2000;
