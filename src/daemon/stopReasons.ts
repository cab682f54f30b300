/** Why the daemon is asked to stop. */
const stopReasons = {
  planned: 'a planned stop',
  faults: 'errors came again and again',
} as const;

export default stopReasons;
