/** Exit codes of the programs, by meaning. The numbers never change, since pipelines rely on them. */
const exitCodes = {
  ok: 0,
  internal: 1,
  usage: 2,
  badFile: 3,
  cannotListen: 4,
  conflict: 5,
  unreachable: 6,
  timedOut: 7,
  notFound: 8,
  removed: 9,
} as const;

export default exitCodes;
