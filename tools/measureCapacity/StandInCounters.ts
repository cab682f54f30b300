/** Open stand-in links of one process, and the messages and tasks they have handled since its start. */
export default interface StandInCounters {
  links: number;
  messagesReceived: number;
  messagesSent: number;
  tasks: number;
}
