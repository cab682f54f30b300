import { expect, test } from 'vitest';
import describeError from '../../src/observe/describeError';

/** The description of a thrown value as a log line would have it, without stacks. */
function describe(thrown: unknown): string {
  return JSON.stringify(describeError(thrown), (key, value) =>
    key === 'stack' ? undefined : value,
  );
}

test('any thrown value can be described in a log line', () => {
  const circular: { self?: unknown } = {};
  circular.self = circular;
  const looped = new Error('a');
  looped.cause = looped;
  const cases = {
    'an error with a code and a cause': Object.assign(
      new TypeError('b', { cause: new Error('c') }),
      { code: 'ECONNRESET' },
    ),
    'a cause that leads back to itself': looped,
    'a code that JSON cannot hold': Object.assign(new Error('d'), { code: circular }),
    'no error': undefined,
    'an object without a name for itself': Object.assign(Object.create(null), { e: 5 }),
  };
  const found = Object.entries(cases).map(([name, thrown]) => `${name}: ${describe(thrown)}`);
  expect(found).toMatchInlineSnapshot(`
    [
      "an error with a code and a cause: {"name":"TypeError","message":"b","code":"ECONNRESET","cause":{"name":"Error","message":"c"}}",
      "a cause that leads back to itself: {"name":"Error","message":"a","cause":{"name":"Error","message":"a","cause":{"name":"Error","message":"a","cause":{"name":"Error","message":"a","cause":{"name":"Error","message":"a"}}}}}",
      "a code that JSON cannot hold: {"name":"Error","message":"d","code":"<ref *1> { self: [Circular *1] }"}",
      "no error: {"name":"undefined","message":"undefined"}",
      "an object without a name for itself: {"name":"object","message":"[Object: null prototype] { e: 5 }"}",
    ]
  `);
});
