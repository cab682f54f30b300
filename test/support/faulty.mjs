// Loaded before a program under test: on SIGUSR2 errors come that reach nobody, as the variable FAULTS
// lists them, each by its kind and how often, 50 ms apart. The seed of the process is held to one of which the
// first number drawn is 0, so that it leaves without a pause.
import crypto from 'node:crypto';
import process from 'node:process';
import { setTimeout } from 'node:timers';

const kinds = {
  throw: () => {
    throw new Error('a fault in a timer', { cause: new Error('what was behind it') });
  },
  reject: () => {
    Promise.reject(new TypeError('a fault in a promise'));
  },
};

crypto.randomInt = () => 2 ** 31 - 1;

process.on('SIGUSR2', () =>
  JSON.parse(process.env.FAULTS).forEach(([kind, times]) => {
    for (let turn = 0; turn < times; turn += 1) setTimeout(kinds[kind], turn * 50);
  }),
);
