// Loaded before a program under test: errors that reach nobody, as the variable FAULTS lists them.
// Each is [kind, milliseconds after the start, how often]; one that repeats comes every 50 ms.
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

JSON.parse(process.env.FAULTS).forEach(([kind, afterMs, times]) => {
  for (let turn = 0; turn < times; turn += 1) setTimeout(kinds[kind], afterMs + turn * 50);
});
