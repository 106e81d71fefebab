#include "fulmarquay/consensus/ConsensusMessages.h"

namespace fulmarquay {

namespace {

/// Wire format of a message; m_body is a packed ConsensusBody.
struct Envelope
{
  ReplicaId m_from;
  ReplicaId m_to;
  Term m_term;
  std::string m_body;
  MSGPACK_DEFINE(m_from, m_to, m_term, m_body)
};

} // namespace

std::string
PackConsensus(const ConsensusMessage& aMessage)
{
  Envelope envelope;
  envelope.m_from = aMessage.m_from;
  envelope.m_to = aMessage.m_to;
  envelope.m_term = aMessage.m_term;
  envelope.m_body = PackMessage(aMessage.m_body);
  return Pack(envelope);
}

ConsensusMessage
UnpackConsensus(std::string_view aBytes)
{
  const auto envelope = Unpack<Envelope>(aBytes);
  ConsensusMessage message;
  message.m_from = envelope.m_from;
  message.m_to = envelope.m_to;
  message.m_term = envelope.m_term;
  message.m_body = UnpackMessage<ConsensusBody>(envelope.m_body);
  return message;
}

} // namespace fulmarquay
