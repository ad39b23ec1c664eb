use super::*;
use fleet_core::byte_budget::ByteBudget;
use http_body_util::BodyExt;

/// A large chunk is handed over in small parts, and stays reserved until the last of them is taken.
#[tokio::test]
async fn large_chunk_is_taken_in_parts_and_reserved_until_the_last() {
    let budget = ByteBudget::new(usize::MAX);
    let length = 2 * constants::ENGINE_READ_BYTES + 10;
    let (chunks, receiver) = mpsc::channel(4);
    let mut body = ResponseBody::Relayed(RelayedBody::new(receiver));
    let data: Vec<u8> = (0..length).map(|index| index as u8).collect();
    let reservation = budget.try_reserve(length);
    let data = ReservedBytes { bytes: Bytes::from(data), reservation };
    chunks.send(BodyChunk::Data(data)).await.unwrap();
    chunks.send(BodyChunk::Data(Bytes::from_static(b"next").into())).await.unwrap();
    chunks.send(BodyChunk::End).await.unwrap();
    let mut received = Vec::new();
    for (expected, reserved) in
        [(constants::ENGINE_READ_BYTES, length), (constants::ENGINE_READ_BYTES, length), (10, 0)]
    {
        let part = body.frame().await.unwrap().unwrap().into_data().unwrap();
        assert_eq!((part.len(), budget.usage().reserved), (expected, reserved));
        received.extend_from_slice(&part);
    }
    assert!(received.iter().enumerate().all(|(index, byte)| *byte == index as u8));
    assert_eq!(body.frame().await.unwrap().unwrap().into_data().unwrap(), "next");
    assert!(body.frame().await.is_none());
}
